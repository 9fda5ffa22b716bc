"""TLS over memory: bytes from the wire in, bytes for the wire out, and plain bytes between. No I/O.

The caller moves the bytes, with `sock_recv_into` and `sock_sendall`, and so keeps its socket, which asyncio's
own TLS would take over.
"""

from __future__ import annotations

import ssl

PLAIN_BYTES = 64 * 1024  # of one read: some records, of 16 KiB at most


class TlsStream:
    """TLS of one connection; its methods raise ssl.SSLError, of which ssl.CertificateError is one.

    Attributes:
        ready: whether the handshake is done.
    """

    def __init__(self, context: ssl.SSLContext, is_server: bool) -> None:
        """Takes a context of `folder.Keys`; names are checked by the caller and not by address."""
        self.incoming_wire = ssl.MemoryBIO()
        self.outgoing_wire = ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming_wire, self.outgoing_wire, server_side=is_server)
        self.handshake_done = False

    def feed(self, data: bytes | memoryview) -> bytes:
        """Takes bytes from the wire and returns the plain bytes in them; b"" begins the handshake."""
        if data:
            self.incoming_wire.write(data)
        if not self.handshake_done:
            try:
                self.tls.do_handshake()
            except ssl.SSLWantReadError:
                return b""
            self.handshake_done = True
        parts: list[bytes] = []
        while True:
            try:
                part = self.tls.read(PLAIN_BYTES)
            except (ssl.SSLWantReadError, ssl.SSLZeroReturnError):
                break
            if not part:
                break
            parts.append(part)
        return b"".join(parts)

    def encrypt(self, data: bytes) -> None:
        """Takes plain bytes to be sent, once ``ready``; `outgoing` has them encrypted."""
        self.tls.write(data)

    def read_outgoing(self) -> bytes:
        """Returns what is to go out on the wire now."""
        return self.outgoing_wire.read()

    @property
    def peer_name(self) -> str:
        """The name in the other side's certificate, which the handshake verified; empty if it has none."""
        certificate = self.tls.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        for entry in names if isinstance(names, tuple) else ():
            if entry[0] == "DNS":
                return str(entry[1])
        return ""

    @property
    def peer_serial(self) -> str:
        """The serial number of the other side's certificate, in hexadecimal."""
        certificate = self.tls.getpeercert() or {}
        return str(certificate.get("serialNumber", ""))
