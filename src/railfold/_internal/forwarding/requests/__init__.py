"""Clients' requests: taken, sent through their attempts, and answered."""
