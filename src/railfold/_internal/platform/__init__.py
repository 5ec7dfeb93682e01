"""Clients of what the platform gives: the log and the host list."""
