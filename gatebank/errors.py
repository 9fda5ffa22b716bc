"""The root of gatebank's own errors; each subclass lives beside the code that raises it."""


class GatebankError(Exception):
    """Base of gatebank's own errors: catch it to handle any of them."""
