"""The program's commands, one module each."""
