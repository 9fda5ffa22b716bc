"""A seeded soak test: real instances under random faults, judged only by what the fakes observe.

`python -m tests.soak --seeds 50` plays 50 seeds, `--seed N` plays seed N, and `--show` prints a schedule
without playing it. One process plays one seed: it runs the fakes (`gatebank.fakes`) and the clients, and
starts the instances with the command of the deploy file. What fakes and clients observe is stored as
`records`; `rules` finds the violations of rules in these records. The instances' own logs are kept to help
with tracing a failure, but no rule depends on them.

    schedule.py            the faults and their times, drawn from the seed
    site_settings.py       the site's settings, and the limits that the rules take from them
    fleet.py               fakes, instances and their configurations
    processes.py           start command of instances, and the system's figures about their processes
    peer_relay.py          relay for datagrams between instances, which loses, duplicates and delays them
    faults.py              carries out the faults of a schedule
    client_connection.py   client connections on raw sockets
    clients.py             the clients' requests and retries
    records.py             everything that the fakes and clients observed
    rules/                 checks of the records, one module for each kind of rule
    play.py, report.py     one play from start to end; its result, and the sum of several results
    broken_instance.py     instances that break one rule each, to test the rules
"""
