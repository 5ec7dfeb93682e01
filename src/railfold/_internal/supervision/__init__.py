"""Supervisor tree of a process, and its start and stop."""
