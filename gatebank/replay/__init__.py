"""Replays captured requests against a rehearsal fleet; a request with an effect is never sent twice.

section.py   the `target(...)` section of the operators' file: permitted targets and requests
identity.py  names that identify a request across captures; no I/O
guard.py     decides whether a request may be sent; no I/O
entries.py   the ledger's file format: entries, truncated tails, damage; no I/O
ledger.py    the ledger's folder: the lock, and writes synced in groups
schedule.py  order and due times of requests, and the rate limit; no I/O
requests.py  a replayed request, its outcomes, and the interface of transports
player.py    the replay loop: takes requests in order, asks the guard, and sends them when due
report.py    counts the outcomes of requests; no I/O
sockets.py   sends requests to a running instance over the client protocol
inside.py    passes requests to an instance in this process
errors.py    errors that prevent requests from being sent
"""
