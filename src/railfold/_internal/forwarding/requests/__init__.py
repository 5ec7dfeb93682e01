"""Receiving clients' requests, sending them to backend servers, and answering them."""
