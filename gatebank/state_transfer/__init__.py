"""A starting marshal learns from running ones, and from its own last snapshot, what they know.

    knowledge.py  what is known, as data with its age, origin and weight; the wire's and the snapshot's form
    weighing.py   what a learner believes of it; no I/O
    taking.py     a marshal's knowledge into that form, and beliefs back into the brain's door; no I/O
    protocol.py   frames and the two sides' conversation; bytes in, words out; no I/O
    asking.py     whom to ask, when, and when to stop; no I/O
    teaching.py   whom to teach, how much, and when to refuse; no I/O
    snapshot.py   two files in turn, checksummed
    link.py       sockets and TLS, in the service
    section.py    `learning(...)` in the operators' file

Not imported unless the operators' file has such a section.
"""
