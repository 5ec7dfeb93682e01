"""Benchmarks, each run by ``python -m benchmarks.<name>``.

Benchmarks don't assert timings. Ratios are computed within one run, because the
machine's speed varies between runs.
"""
