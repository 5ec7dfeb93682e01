"""Adapters of what stands behind agents: model engines and plain services."""
