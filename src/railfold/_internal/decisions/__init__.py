"""Decisions as state machines and functions without I/O or clock."""
