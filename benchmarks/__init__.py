"""Measurements, one command each: ``python -m benchmarks.<name>``.

Nothing here asserts a timing. Ratios are taken within one run, since the
machine's speed varies from run to run.
"""
