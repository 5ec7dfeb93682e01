"""Metrics; logs go through absl.logging."""
