"""Data structures whose updates and counts cost the same at any amount of traffic. No I/O and no decisions.

    sliding_window.py         rows by time with a running count of each kind, exact at the window's edge
    order_statistics.py       medians of values that change one at a time
    endpoint_groups.py        endpoints that may be sent to, by build and by whether they are ejected
    outstanding_attempts.py   endpoints with outstanding attempts, in the order of their last results

The property tests in tests/test_counting.py compare each structure with a straightforward implementation;
docs/scale.md has the measured costs.
"""
