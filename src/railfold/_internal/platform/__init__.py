"""Adapter of the users' platform: it translates names and forms only."""
