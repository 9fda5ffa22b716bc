# Every section with every field; beside it, defaults.star has only the fields that are needed.
recording(
    folder = "recordings",
    sides = ["customer", "node"],
    file_bytes = 65536,
    file_seconds = 1.5,
    keep_files = 7,
    keep_bytes = 1048576,
    bodies = "hashed",
    body_bytes = 0,
    hide = ["ticket", "customer"],
    key_file = "hash.key",
    queue_bytes = 65536,
)
learning(
    listen = "127.0.0.1:7950",
    donors = ["127.0.0.1:7950", "[::1]:7951"],
    may_teach = ["instance-0"],
    may_learn = ["instance-1"],
    plain = False,
    patience = 0.25,
    attempts = 3,
    at_once = 2,
    a_second = 4.5,
    bytes_a_second = 10000,
    snapshots = "snapshots",
    snapshot_every = 0.5,
    snapshot_age = 60,
    half_life_well = 1,
    half_life_sick = 2,
    half_life_slow = 3,
    half_life_times = 4,
    half_life_past = 5,
    half_life_sums = 6,
)
keys(folder = "keys/instance", watch = 0.5)
target(address = "127.0.0.1:1", rehearsal = True, keeps_tickets = True, most_per_second = 12.5)
target(address = "127.0.0.1:6381", live_rerunnable = True)
