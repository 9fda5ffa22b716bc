"""``gatebank capture``: shows, checks, cuts, compares and replays recorded traffic.

``commands`` declares the commands and ``options`` what they share; each other module does the work of one.
"""
