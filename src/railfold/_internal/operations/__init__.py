"""Operators' tasks: publish configuration, inspect and drain processes."""
