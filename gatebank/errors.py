"""The root of all errors that gatebank raises; each subclass lives beside the code that raises it."""

from __future__ import annotations


class GatebankError(Exception):
    """Any error of gatebank's own. Subclasses keep its facts as attributes and make its text from them."""
