"""All decisions, thresholds and tuned constants; no I/O.

docs/architecture.md describes the modules, docs/design.md the rules that comments refer to by number.
"""
