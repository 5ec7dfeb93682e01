"""Replication of the configuration that operators publish."""
