"""The entry: ends callers' requests and routes them to agents."""
