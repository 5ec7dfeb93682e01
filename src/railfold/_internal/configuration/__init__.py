"""Schema of the configuration that operators publish."""
