"""Private modules of railfold; import public names from ``railfold`` instead."""
