"""Stand-ins for the systems around railfold: log, host list, engines, services.

Tests, benchmarks and the demonstration use them. They implement the protocols that
the adapters in ``railfold`` expect.
"""
