"""Counting that does not walk: windows, order, groups. No I/O and no decisions; brain.py asks, these know.

    windows.py   rows by time with running counts, exact at their edge
    ranks.py     medians of values that change one at a time
    groups.py    nodes that may be sent to, by build and aside or not; which have been silent the longest

Each stands against the plain form that it replaces: property tests in tests/counting.py, figures in
docs/results.md.
"""
