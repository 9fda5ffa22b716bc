"""``python -m gatebank.simulator``: answers each line of standard input, a batch, by a line of output."""

from __future__ import annotations

import sys

import orjson

from gatebank.simulator.host import Host, WireError

INVALID_INPUT_STATUS = 2


def main() -> int:
    """Answer batches until the input ends; return the exit status."""
    host = Host()
    output = sys.stdout.buffer
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            reply = host.answer(orjson.loads(line))
        except orjson.JSONDecodeError as error:
            return report_error(f"a line is not valid JSON: {error}")
        except WireError as error:
            return report_error(str(error))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return report_error(f"malformed batch: {type(error).__name__} {error}")
        output.write(orjson.dumps(reply) + b"\n")
        output.flush()
    return 0


def report_error(reason: str) -> int:
    """Print one line on standard error that says why the input cannot be answered; return the exit status."""
    line = f"gatebank.simulator: {reason}".replace("\n", " ")
    print(line, file=sys.stderr)
    return INVALID_INPUT_STATUS


if __name__ == "__main__":
    sys.exit(main())
