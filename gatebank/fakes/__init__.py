"""Fakes of what an instance talks to: endpoints, discovery, the release service and clients.

They speak the published protocols, do what a script tells them, count what reaches them, and listen on
loopback only. Examples, tests and benchmarks use them; the service never does.
"""
