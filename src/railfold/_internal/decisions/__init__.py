"""Decision logic as state machines and functions that do no I/O and read no clock."""
