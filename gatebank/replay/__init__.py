"""A recorded hour played again against a rehearsal fleet, and never a payout twice.

section.py    `target(...)` in the operators' file: what may be sent where
identity.py   what names an invocation, in whichever capture it stands; no I/O
guard.py      may this one leave the program? no I/O
entries.py    the ledger's form: entries, torn tails, damage; no I/O
ledger.py     the ledger's folder: lock, syncs in groups
schedule.py   what is due when, in order, within bounds; no I/O
report.py     what became of each
tools.py      reading files for all commands
sockets.py    to a running marshal, over sockets
inside.py     through a marshal in this process, without customers' sockets
"""
