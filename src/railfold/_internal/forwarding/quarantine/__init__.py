"""Recognizes, announces and holds back requests that crash backend servers."""
