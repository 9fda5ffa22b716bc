"""A seeded soak: real instances, faults mixed by chance, and counting by the stand-ins alone.

`python -m tests.soak --seeds 50` plays seeds, `--seed N` one of them, `--show` prints a schedule without a
run. One process plays one seed: it holds the stand-ins (`gatebank.fakes`) and the clients, and starts the
instances as the deploy file says. What they see is written down as `records`, and `rules` reads broken rules
from these; what the instances say of themselves is kept for whoever traces a failure, and never counted.

    schedule.py            what happens when, drawn from the seed
    site_settings.py       the site's settings, and the figures that the rules are counted by
    fleet.py               stand-ins, instances and their configurations
    processes.py           how instances are started, what the system says of them
    peer_relay.py          datagrams between instances, lost, doubled and late
    faults.py              carries out the schedule
    client_connection.py   connections on raw sockets
    clients.py             what clients send, and send again
    records.py             what the stand-ins saw
    rules/                 broken rules in the records, a module for each kind
    play.py, report.py     one seed, from start to end; results, and their sum
    broken_instance.py     instances that break one rule each, to prove the counting
"""
