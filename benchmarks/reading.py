"""Compares the capture reader with a plain loop in which dpkt only decodes each packet, in one run.

python -m benchmarks.reading            speed for four kinds of traffic
python -m benchmarks.reading memory     peak memory for 100 MB and 2 GB
"""

from __future__ import annotations

import resource
import statistics
import sys
import time
from collections.abc import Callable

import dpkt

from benchmarks.harness import Spread, run_json
from benchmarks.traffic import Traffic
from gatebank.capture.packets import PacketReader
from gatebank.capture.reading import CaptureReader

KINDS = {
    "large segments": Traffic(4_000, 60_000),
    "segments of 1,448 bytes": Traffic(4_000, 20_000, 1_448),
    "small values": Traffic(40_000, 100, 1_448),
    "small values, 1% out of order": Traffic(40_000, 100, 1_448, swapped=0.01),
}
ROUNDS = 5
MEGABYTES = (100, 2_000)  # Sizes of the captures for which the peak memory is measured.
EXCHANGE_BYTES = 20_400  # Bytes of one exchange in a capture with values of 20,000 bytes.

Pieces = list[bytes]


def decode_packets(pieces: Pieces) -> int:
    """Decode each packet with dpkt, and return the number of packets."""
    packets = PacketReader()
    decode = dpkt.ethernet.Ethernet
    count = 0
    for piece in pieces:
        for packet in packets.feed(piece):
            decode(packet.data)
            count += 1
    return count


def frame_packets(pieces: Pieces) -> int:
    """Find each packet in the capture format, and return the number of packets."""
    packets = PacketReader()
    return sum(1 for piece in pieces for _ in packets.feed(piece))


def read_exchanges(pieces: Pieces) -> int:
    """Read all exchanges, and return the number of complete ones."""
    capture_reader = CaptureReader()
    count = sum(exchange.whole for piece in pieces for exchange in capture_reader.feed(piece))
    return count + sum(exchange.whole for exchange in capture_reader.end())


def timed(operation: Callable[[Pieces], int], pieces: Pieces) -> tuple[float, int]:
    """Call a function on the pieces, and return its duration in seconds and its result."""
    start = time.perf_counter()
    result = operation(pieces)
    return time.perf_counter() - start, result


def measure_speed(name: str, traffic: Traffic) -> None:
    """Print the speed of reading one kind of traffic."""
    pieces = list(traffic.pieces())
    size = sum(map(len, pieces))
    packets = frame_packets(pieces)
    plain: list[float] = []
    ours: list[float] = []
    framing: list[float] = []
    for _ in range(ROUNDS):
        plain.append(timed(decode_packets, pieces)[0])
        took, found = timed(read_exchanges, pieces)
        ours.append(took)
        framing.append(timed(frame_packets, pieces)[0])
        assert found == traffic.exchanges, (found, traffic)
    median = statistics.median(ours)
    print(
        f"{name}: {size / median / 1e6:.0f} MB/s, {packets / median:,.0f} packets/s,"
        f" {Spread.of_ratios(ours, plain):.2f} times the plain loop; framing alone is"
        f" {Spread.of_ratios(framing, ours).median:.0%} of it"
    )


def print_peak_memory(megabytes: int) -> None:
    """Read a capture while it is generated; print the peak memory in MB and the bytes read, as JSON."""
    exchanges = megabytes * 1_000_000 // EXCHANGE_BYTES
    capture_reader = CaptureReader()
    count = 0
    for piece in Traffic(exchanges, 20_000, 16_384).pieces():
        count += sum(exchange.whole for exchange in capture_reader.feed(piece))
    count += sum(exchange.whole for exchange in capture_reader.end())
    assert count == exchanges, (count, exchanges)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print([peak, capture_reader.packets.bytes_read])


def measure_memory() -> None:
    """Print the peak memory of reading captures of several sizes, each in a separate process."""
    for megabytes in MEGABYTES:
        peak, read = run_json(list, "-m", "benchmarks.reading", "hold", str(megabytes))
        print(f"{read / 1e6:,.0f} MB read: peak memory {peak} MB")


def main() -> None:
    """Run the measurement that the command line names."""
    match sys.argv[1:]:
        case ["hold", megabytes]:
            print_peak_memory(int(megabytes))
        case ["memory"]:
            measure_memory()
        case _:
            for name, traffic in KINDS.items():
                measure_speed(name, traffic)


if __name__ == "__main__":
    main()
