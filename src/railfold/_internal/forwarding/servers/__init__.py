"""Backend servers: connections, health, limits, and the layers they hold."""
