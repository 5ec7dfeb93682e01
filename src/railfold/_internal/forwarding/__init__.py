"""An entry that reaches engines directly, which forward among themselves."""
