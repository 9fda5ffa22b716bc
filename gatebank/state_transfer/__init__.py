"""State transfer: a starting instance inherits state from running instances and from its own last snapshot.

Modules without I/O:

    items.py             items of state as data with age, origin and outcomes; their stored form
    weighting.py         weights the received items and merges them
    index_names.py       names for the balancer's indices
    state_export.py      converts the balancer's tables to items
    inherited_knowledge.py  stores received items and converts the merged state to the balancer's indices
    protocol.py          frames and messages of a transfer; bytes in, messages out
    source_selection.py  decides which sources a receiver asks, when, and when the receiver stops
    source_limits.py     limits how many receivers a source serves and how fast, and decides refusals
    section.py           the `learning(...)` section of the operators' file

Modules with I/O:

    snapshot.py          reads and writes two alternating snapshot files with checksums
    connection.py        one connection, plain or with TLS
    background_tasks.py  owns the background tasks
    local_state.py       gives the other modules access to this instance's state
    peer_keys.py         the TLS keys of connections, reloaded without a restart
    receiver.py          asks sources and merges the items that they send
    source.py            listens and sends items to receivers
    snapshot_store.py    writes snapshots periodically and at shutdown
    session.py           starts, owns and stops all of the above

docs/learning.md describes which state is transferred, between which instances, and how it is weighted. This
package is imported only if the operators' file has a `learning(...)` section.
"""
