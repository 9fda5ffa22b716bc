"""Benchmarks that are run by hand: ``python -m benchmarks.NAME``; those with options have ``--help``.

Compare only the ratios within one run: other load on the machine affects all measurements of a run alike.
"""
