"""Links: long-lived connections between the processes of railfold."""
