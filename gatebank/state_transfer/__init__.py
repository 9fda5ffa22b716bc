"""An instance that starts inherits state from running instances and from its own last snapshot.

Without I/O:

    items.py             what is known, as data with age, origin and outcomes; the stored form
    weighting.py         what a receiver believes of the items that it was sent
    index_names.py       the names behind the balancer's indices
    state_export.py      the balancer's tables to items
    inherited_knowledge.py  merged items back to the balancer
    protocol.py          frames and the conversation; bytes in, messages out
    source_selection.py  which sources a receiver asks, when, and when it stops
    source_limits.py     how many receivers a source serves, how fast, and when it refuses
    section.py           `learning(...)` in the operators' file

With I/O:

    snapshot.py          two files that are written in turn, with checksums
    connection.py        one connection, with TLS or plain
    background_tasks.py  owner of the tasks
    local_state.py       this instance's state for the parts below
    peer_keys.py         the keys of connections, renewed in service
    receiver.py          asks sources and merges what they send
    source.py            listens, and sends to receivers
    snapshot_store.py    writes snapshots from time to time, and at shutdown
    session.py           starts, owns and ends all of it

docs/learning.md says what is transferred, from whom, and how it is weighed. Nothing of this is imported
unless the operators' file has such a section.
"""
