"""Decision logs, metrics and the HTTP servers that report a process's state."""
