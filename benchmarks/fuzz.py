"""A long run of spoilt captures, by hand: no exception, no wrong pair, no growth.

    python -m benchmarks.fuzz [SECONDS] [SEED]

Each round takes a capture with known answers, spoils it (bytes changed, lost, doubled; packets lost and
swapped), and reads it in pieces of chance. With atheris installed, `python -m benchmarks.fuzz cover` lets it
look for inputs by coverage instead.
"""

from __future__ import annotations

import random
import resource
import sys
import time

EVERY = 10.0  # s between lines


def spoil(chance: random.Random, data: bytes) -> bytes:
    found = bytearray(data)
    for _ in range(chance.choice([1, 1, 3, 30])):
        at = chance.randrange(len(found) or 1)
        match chance.randrange(5):
            case 0:
                found[at : at + 1] = bytes([chance.randrange(256)])
            case 1:
                del found[at : at + chance.randrange(200)]
            case 2:
                found[at:at] = found[at : at + chance.randrange(400)]
            case 3:
                found[at:at] = chance.randbytes(chance.randrange(64))
            case 4:
                found[at : at + 4] = chance.choice([b"\xff" * 4, bytes(4), b"\x00\x00\x00\x80"])
    return bytes(found)


def main(seconds: float, seed: int) -> None:
    from tests.support.capture_builder import mismatched, read
    from tests.support.capture_scenarios import conversation

    chance, tape = random.Random(seed), conversation()
    data, packets = tape.data(), list(tape.packets)
    start = said = time.monotonic()
    rounds, exchanges = 0, 0
    while time.monotonic() - start < seconds:
        rounds += 1
        if rounds % 2:
            found, _ = read(spoil(chance, data), piece=chance.choice([0, 1, 13, 1000]))
        else:  # whole packets only: then no answer may go to another's command
            kept = [each for each in packets if chance.random() > 0.05]
            for _ in range(chance.randrange(4)):
                at = chance.randrange(len(kept) - 3)
                kept.insert(at + chance.randrange(3), kept.pop(at))
            tape.packets = kept
            found, _ = read(tape.data(), piece=chance.choice([0, 500]))
            wrong = mismatched(found, tape.sizes)
            assert not wrong, (seed, rounds, wrong)
        exchanges += len(found)
        if time.monotonic() - said > EVERY:
            said = time.monotonic()
            memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
            print(f"{rounds} rounds, {exchanges} exchanges, {memory} MB at most", flush=True)
    print(f"done: {rounds} rounds in {seconds:g} s, seed {seed}, {exchanges} exchanges, no fault")


def cover() -> None:
    import atheris

    with atheris.instrument_imports(include=["gatebank"]):  # before anything has loaded them
        from tests.support import capture_builder

    def one(data: bytes) -> None:
        capture_builder.read(data)

    atheris.Setup(sys.argv[:1] + sys.argv[2:], one)
    atheris.Fuzz()


if __name__ == "__main__":
    if sys.argv[1:2] == ["cover"]:
        cover()
    else:
        told = sys.argv[1:]
        main(float(told[0]) if told else 60.0, int(told[1]) if len(told) > 1 else 1)
