"""Requests that end their servers: recognized, told of, and held back."""
