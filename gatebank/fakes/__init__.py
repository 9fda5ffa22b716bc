"""Stand-ins for what a marshal meets: nodes, discovery, desk and customers, by their published protocol.

They are scripted, count what reaches them, and listen on loopback only. Examples, tests and benchmarks use
them; the service never does.
"""
