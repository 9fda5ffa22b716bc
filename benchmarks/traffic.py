"""Generated captures for measurements: exchanges of clients with an instance, as pcapng."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from gatebank.capture import writing
from gatebank.fakes.clients import random_request
from gatebank.proxy.resp2 import codec as resp

START_NS = 1_700_000_000_000_000_000
STEP_NS = 500_000  # between a request and its reply
ETHERNET = bytes(12) + b"\x08\x00"  # a header for IPv4
ETHERNET_LINK = 1  # pcapng's number of the link type
FIRST_PORT = 20_000
SERVER = ("127.0.0.2", 6379)
CLIENT = 0  # the sides of a conversation, as gatebank/capture/writing.py numbers them
INSTANCE = 1
READ_BYTES = 1 << 18


@dataclass(frozen=True, slots=True)
class Traffic:
    """What a capture holds.

    Attributes:
        exchanges: How many requests with their replies.
        value_bytes: Of each reply.
        segment_bytes: Of a TCP segment at most.
        swapped: The share of packets that come behind the one that follows them.
        connections: Over how many the exchanges are spread.
        seed: All is drawn with it.
    """

    exchanges: int
    value_bytes: int
    segment_bytes: int = 32_768
    swapped: float = 0.0
    connections: int = 50
    seed: int = 1

    def pieces(self) -> Iterator[bytes]:
        """Yield the capture in pieces of about READ_BYTES, as a file is read."""
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
    """Makes the blocks of one capture."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.generator = random.Random(traffic.seed)
        self.now_ns = START_NS
        self.held: bytes | None = None  # a packet that comes behind the next one
        self.conversations = [self.conversation(number) for number in range(traffic.connections)]
        self.value = bytes(self.generator.choices(b"abcdefgh", k=traffic.value_bytes))

    def conversation(self, number: int) -> writing.Conversation:
        """Return a connection with sequence numbers of its own."""
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
            yield from self.say(conversation, CLIENT, resp.encode_command(random_request(self.generator)))
            self.now_ns += STEP_NS
            yield from self.say(conversation, INSTANCE, reply)
            self.now_ns += STEP_NS
        for conversation in self.conversations:
            yield from self.packets(conversation.close(CLIENT, False))

    def say(self, conversation: writing.Conversation, side: int, data: bytes) -> Iterator[bytes]:
        """Yield the packets in which one side sends some bytes."""
        size = self.traffic.segment_bytes
        for start in range(0, len(data), size):
            yield from self.packets(conversation.send(side, data[start : start + size]))

    def packets(self, datagrams: Iterator[bytes] | list[bytes]) -> Iterator[bytes]:
        """Yield the blocks of some IP datagrams, now and then in another order."""
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
