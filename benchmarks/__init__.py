"""Measurements, run by hand: ``python -m benchmarks.NAME``, each with ``--help`` where it takes options.

Figures are ratios within one run: other work on a machine changes all of them alike.
"""
