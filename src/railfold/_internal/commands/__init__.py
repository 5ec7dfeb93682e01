"""Commands of the program."""
