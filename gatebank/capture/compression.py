"""Incremental decompression of capture files: gzip, zstd or none. No I/O."""

from __future__ import annotations

import importlib
import zlib
from collections.abc import Iterator
from typing import Any, Protocol

from gatebank.capture.errors import CaptureFormatError

GZIP_MAGIC = b"\x1f\x8b"
ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"
MAGIC_BYTES = 4  # Bytes at a file's start that identify its compression and its format.
MAX_GZIP_OUTPUT = 1 << 20  # Bytes decompressed per gzip call, so that a small input cannot fill the memory.
# Compressed bytes passed to zstd per call. zstd returns all data that its input holds, so this limits the
# output.
ZSTD_INPUT = 4096
MAX_ZSTD_WINDOW = 1 << 27  # Largest window in bytes that a zstd frame may require.
GZIP_WINDOW_BITS = 31  # zlib's code for the gzip format (16) with the largest window (15 bits).


class Decompressor(Protocol):
    """Decompresses the bytes of a file."""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Decompress ``data`` and yield the result in pieces.

        Raises:
            CaptureFormatError: ``data`` is not valid in the compressed format.
        """
        ...

    def end(self) -> None:
        """Report the end of the file.

        Raises:
            CaptureFormatError: The compressed stream is incomplete.
        """
        ...


class NoCompression:
    """Passes the bytes of an uncompressed file through unchanged."""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """See `Decompressor.feed`; never raises."""
        yield data

    def end(self) -> None:
        """See `Decompressor.end`; never raises."""


class GzipDecompressor:
    """Decompresses gzip files of any number of concatenated members (RFC 1952)."""

    def __init__(self) -> None:
        self._member = zlib.decompressobj(GZIP_WINDOW_BITS)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """See `Decompressor.feed`. Zero bytes after the last member are ignored as padding."""
        try:
            while data:
                if self._member.eof:
                    if not data.strip(b"\0"):
                        return
                    self._member = zlib.decompressobj(GZIP_WINDOW_BITS)
                yield self._member.decompress(data, MAX_GZIP_OUTPUT)
                data = self._member.unconsumed_tail or self._member.unused_data
        except zlib.error as error:
            raise CaptureFormatError(f"gzip: {error}") from None

    def end(self) -> None:
        """See `Decompressor.end`."""
        if not self._member.eof:
            raise CaptureFormatError("the gzip stream is cut off")


class ZstdDecompressor:
    """Decompresses zstd files of any number of concatenated frames (RFC 8878).

    Raises:
        ImportError: The package zstandard of the extra `capture` is not installed.
    """

    def __init__(self) -> None:
        zstandard = importlib.import_module("zstandard")  # An optional dependency, imported on first use.
        self._zstd_error: Any = zstandard.ZstdError
        self._context = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW)
        self._frame: Any = None  # Decompressor of the current frame; None between two frames.

    def feed(self, data: bytes) -> Iterator[bytes]:
        """See `Decompressor.feed`."""
        try:
            while data:
                if self._frame is None:
                    self._frame = self._context.decompressobj()
                part = data[:ZSTD_INPUT]
                data = data[ZSTD_INPUT:]
                yield self._frame.decompress(part)
                if self._frame.eof:
                    data = self._frame.unused_data + data
                    self._frame = None
        except self._zstd_error as error:
            raise CaptureFormatError(f"zstd: {error}") from None

    def end(self) -> None:
        """See `Decompressor.end`."""
        if self._frame is not None:
            raise CaptureFormatError("the zstd stream is cut off")


def decompressor_for(first_bytes: bytes) -> Decompressor:
    """Create the decompressor for a file from its first bytes, of which MAGIC_BYTES are needed.

    Raises:
        CaptureFormatError: The file is compressed with zstd, but zstandard is not installed.
    """
    if first_bytes.startswith(GZIP_MAGIC):
        return GzipDecompressor()
    if not first_bytes.startswith(ZSTD_MAGIC):
        return NoCompression()
    try:
        return ZstdDecompressor()
    except ImportError:
        reason = "compressed by zstd, for which the extra gatebank[capture] is needed"
        raise CaptureFormatError(reason) from None
