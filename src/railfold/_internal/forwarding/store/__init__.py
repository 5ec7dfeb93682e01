"""What the platform's store holds: read, leased and written."""
