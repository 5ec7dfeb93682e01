"""Adapter of the platform: it translates names and formats, and decides nothing."""
