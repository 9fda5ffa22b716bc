"""Fakes of the services and clients of an instance: endpoints, discovery, the release service and clients.

The fakes speak the published protocols, behave as a test or script requests, count the commands that reach
them, and listen on loopback only. Examples, tests and benchmarks use the fakes; the proxy itself does not.
"""
