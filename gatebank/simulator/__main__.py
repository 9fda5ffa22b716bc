"""``python -m gatebank.simulator``: a batch a line on standard input, a reply a line on standard output."""

from __future__ import annotations

import sys

import orjson

from gatebank.simulator.host import Host, WireError


def main() -> int:
    host = Host()
    out = sys.stdout.buffer
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            reply = host.answer(orjson.loads(line))
        except orjson.JSONDecodeError as trouble:
            return complain(f"a line is no JSON: {trouble}")
        except WireError as trouble:
            return complain(str(trouble))
        except (KeyError, TypeError, ValueError, AttributeError) as trouble:
            return complain(f"a broken batch: {type(trouble).__name__} {trouble}")
        out.write(orjson.dumps(reply) + b"\n")
        out.flush()
    return 0


def complain(what: str) -> int:
    print(f"gatebank.simulator: {what}".replace("\n", " "), file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
