"""Counting whose cost does not grow with traffic or endpoints. No I/O and no decisions.

    sliding_window.py         rows by time with running counts, exact at their edge
    order_statistics.py       medians of values that change one at a time
    endpoint_groups.py        endpoints that may be sent to, by build and ejected or not
    outstanding_attempts.py   endpoints with attempts outstanding, by how long nothing came from them

Each is held against the plain form that it replaces by property tests in tests/test_counting.py;
docs/scale.md has the figures.
"""
