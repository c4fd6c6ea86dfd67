"""Reads request bodies that arrive in many small chunks at a cost close to that of their bytes."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING

from h11 import Data
from h11._readers import ChunkedReader

if TYPE_CHECKING:
    from h11 import EndOfMessage
    from h11._receivebuffer import ReceiveBuffer

SMALL_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,3})\r\n")  # head of a chunk below 4 KB, not extended
ONE_BYTE_CHUNKS = re.compile(rb"(?:1\r\n(?s:.)\r\n)++")
ONE_BYTE_CHUNK_BYTES = 6  # as sent, its content at offset 3


def merge_chunks(data: bytearray) -> tuple[bytearray, int]:
    """Return the contents of the small chunks that are complete, and how many bytes they take.

    It ends before anything else, such as the last chunk or a malformed one.
    """
    merged = bytearray()
    used = 0
    while (head := SMALL_CHUNK.match(data, used)) is not None:
        start = head.end()
        end = start + int(head[1], 16)
        if end == start or data[end : end + 2] != b"\r\n":
            break
        run = ONE_BYTE_CHUNKS.match(data, used)
        if run is not None:
            merged += run[0][3::ONE_BYTE_CHUNK_BYTES]
            used = run.end()
        else:
            merged += data[start:end]
            used = end + 2
    return merged, used


class MergingChunkReader(ChunkedReader):
    """h11's reader of chunked bodies, which returns many small chunks as one event.

    h11 creates an event for each chunk, which takes some 4 microseconds whatever its size.
    """

    def __call__(self, buffer: ReceiveBuffer) -> Data | EndOfMessage | None:
        """Return the next part of the body, or its end; ``None`` if more bytes are needed."""
        if self._bytes_to_discard == b"\r\n" and buffer._data.startswith(b"\r\n"):
            buffer.maybe_extract_at_most(2)
            self._bytes_to_discard = b""
        if not (self._bytes_in_chunk or self._bytes_to_discard or self._reading_trailer):
            merged, used = merge_chunks(buffer._data)
            if used:
                buffer.maybe_extract_at_most(used)
                return Data(data=bytes(merged), chunk_start=True, chunk_end=True)
        return super().__call__(buffer)
