"""Connections, health checks, limits and layer placement of backend servers."""
