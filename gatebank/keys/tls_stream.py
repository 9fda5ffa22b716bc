"""TLS in memory: converts between encrypted bytes of the network and plain bytes. No I/O.

The caller transfers the bytes with `sock_recv_into` and `sock_sendall`, and thus keeps control of its socket;
asyncio's own TLS would take over the socket.
"""

from __future__ import annotations

import ssl

# Maximum size of one read of plain bytes: several TLS records, which have at most 16 KiB each.
MAX_READ_BYTES = 64 * 1024


class TlsStream:
    """TLS state of one connection; its methods raise ssl.SSLError or its subclass ssl.CertificateError.

    Attributes:
        incoming_wire: Encrypted bytes received from the network and not yet decrypted.
        outgoing_wire: Encrypted bytes to be sent to the network.
        tls: The TLS object between the two buffers.
        handshake_done: Whether the handshake has completed.
    """

    def __init__(self, context: ssl.SSLContext, is_server: bool) -> None:
        """Create the TLS state from a context of `folder.Keys`; the caller checks the name of the peer."""
        self.incoming_wire = ssl.MemoryBIO()
        self.outgoing_wire = ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming_wire, self.outgoing_wire, server_side=is_server)
        self.handshake_done = False

    def feed(self, data: bytes | memoryview) -> bytes:
        """Decrypt bytes received from the network and return the plain bytes; b"" starts the handshake."""
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
                part = self.tls.read(MAX_READ_BYTES)
            except (ssl.SSLWantReadError, ssl.SSLZeroReturnError):
                break
            if not part:
                break
            parts.append(part)
        return b"".join(parts)

    def encrypt(self, data: bytes) -> None:
        """Encrypt plain bytes, which `read_outgoing` then returns; call once ``handshake_done`` is set."""
        self.tls.write(data)

    def read_outgoing(self) -> bytes:
        """Remove and return the encrypted bytes that are to be sent to the network now."""
        return self.outgoing_wire.read()

    @property
    def peer_name(self) -> str:
        """DNS name in the peer's certificate, which the handshake verified; empty if there is no name."""
        certificate = self.tls.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        for entry in names if isinstance(names, tuple) else ():
            if entry[0] == "DNS":
                return str(entry[1])
        return ""

    @property
    def peer_serial(self) -> str:
        """Serial number of the peer's certificate, in hexadecimal."""
        certificate = self.tls.getpeercert() or {}
        return str(certificate.get("serialNumber", ""))
