"""The entry: takes requests from callers and routes them to agents."""
