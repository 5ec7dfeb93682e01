"""Validated settings files."""
