"""Generates captures for benchmarks: exchanges between clients and an instance in pcapng format."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from gatebank.capture import writing
from gatebank.fakes.clients import random_request
from gatebank.proxy.resp2 import codec as resp

START_NS = 1_700_000_000_000_000_000
STEP_NS = 500_000  # Time between a request and its reply, and between exchanges.
ETHERNET = bytes(12) + b"\x08\x00"  # Ethernet header of an IPv4 packet.
ETHERNET_LINK = 1  # pcapng's number of the link type Ethernet.
FIRST_PORT = 20_000
SERVER = ("127.0.0.2", 6379)
# The sides of a conversation as gatebank/capture/writing.py numbers them.
CLIENT = 0
INSTANCE = 1
READ_BYTES = 1 << 18


@dataclass(frozen=True, slots=True)
class Traffic:
    """The content of a capture.

    Attributes:
        exchanges: Number of requests, each with its reply.
        value_bytes: Size of the value in each reply.
        segment_bytes: Largest size of a TCP segment's data.
        swapped: Share of packets that are swapped with the next packet.
        connections: Number of connections over which the exchanges are spread.
        seed: Seed of all random choices.
    """

    exchanges: int
    value_bytes: int
    segment_bytes: int = 32_768
    swapped: float = 0.0
    connections: int = 50
    seed: int = 1

    def pieces(self) -> Iterator[bytes]:
        """Yield the capture in pieces of about READ_BYTES, like the reads of a file."""
        blocks: list[bytes] = []
        size = 0
        for block in CaptureWriter(self).blocks():
            blocks.append(block)
            size += len(block)
            if size >= READ_BYTES:
                yield b"".join(blocks)
                blocks = []
                size = 0
        yield b"".join(blocks)


class CaptureWriter:
    """Generates the blocks of one capture.

    Attributes:
        held: A packet that is written after the next one.
    """

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.generator = random.Random(traffic.seed)
        self.now_ns = START_NS
        self.held: bytes | None = None
        self.conversations = [self.conversation(number) for number in range(traffic.connections)]
        self.value = bytes(self.generator.choices(b"abcdefgh", k=traffic.value_bytes))

    def conversation(self, number: int) -> writing.Conversation:
        """Return a connection with its own client port and random sequence numbers."""
        client = ("127.0.0.1", FIRST_PORT + number)
        sequence_numbers = (self.generator.getrandbits(32), self.generator.getrandbits(32))
        return writing.Conversation((client, SERVER), sequence_numbers)

    def blocks(self) -> Iterator[bytes]:
        """Yield the capture's blocks in order."""
        yield writing.section_block() + writing.interface_block("customers", ETHERNET_LINK)
        for conversation in self.conversations:
            yield from self.packets(conversation.open())
        reply = b"$%d\r\n%b\r\n" % (len(self.value), self.value)
        for _ in range(self.traffic.exchanges):
            conversation = self.generator.choice(self.conversations)
            yield from self.send(conversation, CLIENT, resp.encode_command(random_request(self.generator)))
            self.now_ns += STEP_NS
            yield from self.send(conversation, INSTANCE, reply)
            self.now_ns += STEP_NS
        for conversation in self.conversations:
            yield from self.packets(conversation.close(CLIENT, False))

    def send(self, conversation: writing.Conversation, side: int, data: bytes) -> Iterator[bytes]:
        """Yield the blocks of the packets in which one side sends data."""
        size = self.traffic.segment_bytes
        for start in range(0, len(data), size):
            yield from self.packets(conversation.send(side, data[start : start + size]))

    def packets(self, datagrams: Iterator[bytes] | list[bytes]) -> Iterator[bytes]:
        """Yield the blocks of IP datagrams, with a share of neighbouring datagrams swapped."""
        for datagram in datagrams:
            block = writing.packet_block(0, self.now_ns, ETHERNET + datagram)
            if self.held is not None:
                yield block
                yield self.held
                self.held = None
            elif self.traffic.swapped and self.generator.random() < self.traffic.swapped:
                self.held = block
            else:
                yield block
