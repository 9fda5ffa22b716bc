"""The sub-commands of ``python -m gatebank``, one module per command group.

A command module only declares commands and options. A command imports the modules that it needs when it runs,
so ``serve`` does not load them, and a missing optional library affects only the commands that need it.
"""
