"""The root of all errors that gatebank raises on purpose."""

from __future__ import annotations


class GatebankError(Exception):
    """What an operator, a client, a peer or a file did not do as agreed; the text is one plain line."""
