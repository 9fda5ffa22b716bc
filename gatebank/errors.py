"""The root of all errors that gatebank raises itself. Subclasses live beside the code that raises them."""

from __future__ import annotations


class GatebankError(Exception):
    """Base class of gatebank's own errors; catch it to tell them from faults in the code."""
