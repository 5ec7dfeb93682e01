"""A randomized soak: real entries as processes, faults from outside, promises checked.

``docs/operations/soak.md`` says how to run and read it.
"""
