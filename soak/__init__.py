"""A randomized soak test that injects faults into real entry processes.

It checks the guarantees to clients from outside the processes.
``docs/operations/soak.md`` describes how to run it and read its results.
"""
