"""Private parts of railfold; import the public names from ``railfold``."""
