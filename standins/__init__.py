"""Stand-ins for what surrounds railfold: log, host list, engines, services.

They are for tests, benchmarks and the demonstration, and speak the protocols
that the adapters in ``railfold`` expect.
"""
