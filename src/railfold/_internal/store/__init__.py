"""Clients of the log service and the host list that railfold itself uses."""
