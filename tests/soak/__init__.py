"""A seeded soak: real instances, faults mixed by chance, and counting by the stand-ins alone.

`python -m tests.soak --seeds 50` plays seeds, `--seed N` one of them, `--show` prints a schedule without a
run. One process plays one seed: it holds the stand-ins (`gatebank.fakes`) and the clients, and starts the
instances as the deploy file says. What they see is written down as `records`, and `rules` reads broken rules
from these; what the instances say of themselves is kept for whoever traces a failure, and never counted.

    schedule.py   what happens when, drawn from the seed        records.py  what the stand-ins saw
    fleet.py      stand-ins, instances, their configurations    rules.py    broken rules in the records
    faults.py     carries out the schedule                      play.py     one seed, from start to end
    clients.py    connections and requests                      report.py   results, and their sum
"""
