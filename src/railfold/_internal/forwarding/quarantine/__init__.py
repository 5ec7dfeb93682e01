"""Requests that end their servers: recognized, announced, and held back."""
