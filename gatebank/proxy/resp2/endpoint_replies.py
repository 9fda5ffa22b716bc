"""Parsing of endpoints' replies."""

from __future__ import annotations

from collections.abc import Sequence

from gatebank.events import Outcome
from gatebank.proxy.buffers import ProtocolError
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.resp2 import codec

# Names of load report fields as endpoints write them, by the simulator's names, which the settings use.
REPORT_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
# Exclusive bound on the values of a load report: no endpoint counts this high, so larger values are noise.
MAX_LOAD_VALUE = 1e9


def parse_attempt_reply(reply: codec.Reply, report_fields: Sequence[str]) -> EndpointReply:
    """Parse the reply to an attempt.

    Args:
        reply: The reply.
        report_fields: Load report fields by their names on the wire, in the order of the result.

    Raises:
        ProtocolError: The reply does not have the form of a reply to an attempt.
    """
    values = reply.values
    if reply.type_byte == "*" and len(values) == 3 and values[0] is not None and values[1] is None:
        return EndpointReply(Outcome.SUCCESS, values[0], parse_load_report(values[2], report_fields))
    if reply.type_byte == "-" and values[0] is not None:
        text = bytes(values[0])
        match text.split(b" ")[0]:
            case b"BUSY" | b"SYNTAX":  # In both cases the endpoint did not execute the request.
                return EndpointReply(Outcome.REJECTED)
            case b"ERR":
                report = parse_load_report(text.rpartition(b" ")[2], report_fields)
                return EndpointReply(Outcome.ERROR, None, report)
    raise ProtocolError("a reply that does not have the form of a reply to an attempt")


def parse_health_reply(reply: codec.Reply) -> EndpointReply:
    """Parse the reply to a health check: any simple string counts as success."""
    return EndpointReply(Outcome.SUCCESS if reply.type_byte == "+" else Outcome.ERROR)


def parse_load_report(
    text: bytes | memoryview | None, report_fields: Sequence[str]
) -> Sequence[float] | None:
    """Parse a load report ``NAME=VALUE,...`` into the order of ``report_fields``; None if it is malformed.

    >>> parse_load_report(b"util=0.25,queue=3", ["queue", "util"]), parse_load_report(b"util=", ["util"])
    ([3.0, 0.25], None)
    """
    if not text or not report_fields:
        return None
    try:
        pairs = dict(pair.split("=", 1) for pair in bytes(text).decode().split(","))
        values = [float(pairs[name]) for name in report_fields]
    except (ValueError, KeyError):
        return None
    return values if all(0 <= value < MAX_LOAD_VALUE for value in values) else None
