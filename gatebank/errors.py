"""The base class of all errors that gatebank raises deliberately."""

from __future__ import annotations


class GatebankError(Exception):
    """An operator, a client, a peer or a file broke the agreed form; the message is one plain line."""
