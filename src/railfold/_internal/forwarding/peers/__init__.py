"""Communication between the entries: datagrams and shared records."""
