"""What an endpoint's reply means."""

from __future__ import annotations

from collections.abc import Sequence

from gatebank.events import Outcome
from gatebank.proxy.buffers import ProtocolError
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.resp2 import codec

# The settings name a report's fields as the simulator does; an endpoint names them so.
REPORT_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
MAX_LOAD_VALUE = 1e9  # of a load report, exclusive: no endpoint counts so high, so it is noise


def parse_attempt_reply(reply: codec.Reply, report_fields: Sequence[str]) -> EndpointReply:
    """Read the reply to an attempt.

    Raises:
        ProtocolError: No reply to an attempt has this form.
    """
    values = reply.values
    if reply.type_byte == "*" and len(values) == 3 and values[0] is not None and values[1] is None:
        return EndpointReply(Outcome.SUCCESS, values[0], parse_load_report(values[2], report_fields))
    if reply.type_byte == "-" and values[0] is not None:
        text = bytes(values[0])
        match text.split(b" ")[0]:
            case b"BUSY" | b"SYNTAX":  # neither has run it
                return EndpointReply(Outcome.REJECTED)
            case b"ERR":
                report = parse_load_report(text.rpartition(b" ")[2], report_fields)
                return EndpointReply(Outcome.ERROR, None, report)
    raise ProtocolError("no answer to an attempt looks so")


def parse_health_reply(reply: codec.Reply) -> EndpointReply:
    """Read the reply to a health check: any simple string is a sign of life."""
    return EndpointReply(Outcome.SUCCESS if reply.type_byte == "+" else Outcome.ERROR)


def parse_load_report(
    text: bytes | memoryview | None, report_fields: Sequence[str]
) -> Sequence[float] | None:
    """Read a load report, ``NAME=FIGURE,...``, into the order of ``report_fields``; a broken one is None.

    >>> parse_load_report(b"util=0.25,queue=3", ["queue", "util"]), parse_load_report(b"util=", ["util"])
    ([3.0, 0.25], None)
    """
    if not text or not report_fields:
        return None
    try:
        pairs = dict(pair.split("=", 1) for pair in bytes(text).decode().split(","))
        figures = [float(pairs[name]) for name in report_fields]
    except (ValueError, KeyError):
        return None
    return figures if all(0 <= figure < MAX_LOAD_VALUE for figure in figures) else None
