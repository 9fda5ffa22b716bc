"""A recorded hour played again against a rehearsal fleet, and never a request with an effect twice.

section.py   `target(...)` in the operators' file: what may be sent where
identity.py  what names a request, in whichever capture it stands; no I/O
guard.py     whether a request may leave the program; no I/O
entries.py   the ledger's file format: entries, torn tails, damage; no I/O
ledger.py    the ledger's folder: a lock, and syncs in groups
schedule.py  what is due when, in order, within limits; no I/O
requests.py  a request on its way, its outcomes, and what carries it
player.py    the clockwork: takes requests in order, asks the guard, and sends them when due
report.py    what became of each request; no I/O
sockets.py   carries requests to a running instance, over its clients' protocol
inside.py    carries requests to an instance in this process
errors.py    why nothing is sent
"""
