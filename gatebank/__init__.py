"""gatebank: a proxy that tries out new builds on live traffic."""

__version__ = "0.2.0"
