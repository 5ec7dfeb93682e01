"""Links between railfold processes."""
