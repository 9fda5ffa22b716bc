"""The sub-commands of ``python -m gatebank``, a module each.

A module of commands only declares options. What a command needs to run is imported when it runs: ``serve``
loads none of it, and a command whose optional libraries are missing does not stop the others.
"""
