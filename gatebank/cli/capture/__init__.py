"""``gatebank capture``: shows, checks, cuts, compares and replays recorded traffic.

``commands`` declares the commands, ``options`` has the options that they share, and ``source`` reads the
captures. The other modules carry out the commands.
"""
