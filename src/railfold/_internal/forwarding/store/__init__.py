"""Access to the platform's store: streams, leases and records shared by entries."""
