"""Decompression of capture files, by pieces: gzip, zstd or none. No I/O."""

from __future__ import annotations

import importlib
import zlib
from collections.abc import Iterator
from typing import Any, Protocol

from gatebank.capture.errors import CaptureFormatError

GZIP_MAGIC = b"\x1f\x8b"
ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"
MAGIC_BYTES = 4  # bytes of a file needed to tell its compression and its format
MAX_GZIP_OUTPUT = 1 << 20  # bytes that gzip may give at once, so that a small input can't fill the memory
ZSTD_INPUT = 4096  # bytes given to zstd at once: it returns all that they hold, so this limits its output
MAX_ZSTD_WINDOW = 1 << 27  # bytes that a zstd frame may ask us to hold
GZIP_WINDOW_BITS = 31  # zlib's way to ask for the gzip format with its largest window


class Decompressor(Protocol):
    """Turns the bytes of a file into the bytes that it had before compression."""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The decompressed bytes of ``data``, by pieces.

        Raises:
            CaptureFormatError: ``data`` is not in the expected compressed form.
        """
        ...

    def end(self) -> None:
        """Tells that the file has ended.

        Raises:
            CaptureFormatError: The compressed stream is not complete.
        """
        ...


class NoCompression:
    """Passes the bytes of an uncompressed file through."""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """See `Decompressor.feed`; raises nothing."""
        yield data

    def end(self) -> None:
        """See `Decompressor.end`; raises nothing."""


class GzipDecompressor:
    """gzip, with any number of members one behind another (RFC 1952)."""

    def __init__(self) -> None:
        self._member = zlib.decompressobj(GZIP_WINDOW_BITS)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """See `Decompressor.feed`. Zero bytes behind the last member are padding."""
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
    """zstd, with any number of frames one behind another (RFC 8878).

    Raises:
        ImportError: The package zstandard, part of the extra `capture`, is not installed.
    """

    def __init__(self) -> None:
        zstandard = importlib.import_module("zstandard")  # optional: only where such a file is read
        self._zstd_error: Any = zstandard.ZstdError
        self._context = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW)
        self._frame: Any = None  # None between two frames

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
    """The decompressor for a file that begins with these bytes, at least MAGIC_BYTES of them.

    Raises:
        CaptureFormatError: The file is compressed by zstd, and zstandard is not installed.
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
