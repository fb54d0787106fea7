"""The msgpack codec of all messages between the system's processes.

A leader sends a large routing table to all hosts at the same time. Uncompressed, the
copies take its memory and saturate its network link for more than a second, which
delays its heartbeats too long. So large messages are compressed, and a message for
many hosts is encoded only once.
"""

import zlib
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ["MsgpackCodec"]

# One HTTP/2 frame. Compressing smaller messages gains little.
MIN_COMPRESSED_BYTES = 16_384
# The fastest level. Routes resemble each other so much that others gain little.
COMPRESSION_LEVEL = 1
# First byte of a zlib stream. In msgpack it is a small integer, and no message is one.
ZLIB_FIRST_BYTE = b"\x78"
# Larger than the largest bundle; a longer message counts as damaged.
MAX_MESSAGE_BYTES = 67_108_864


class MsgpackCodec(CodecBase):
    """
    Encodes message types of the model and validates them when it decodes.

    The message type that grpclib passes is a type that `msgspec` can decode, such as
    a union.
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}
        # The last large message and its encoding; messages are immutable.
        self._cached_message: Any = None
        self._cached_data = b""

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        if message is self._cached_message and message is not None:
            return self._cached_data
        data = self._encoder.encode(message)
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        self._cached_message, self._cached_data = (
            message,
            zlib.compress(data, COMPRESSION_LEVEL),
        )
        return self._cached_data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; raises `msgspec.ValidationError` if invalid."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(_decompress(data))


def _decompress(data: bytes) -> bytes:
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    stream = zlib.decompressobj()
    try:
        decompressed = stream.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.ValidationError(str(error)) from error
    if not stream.eof:
        raise msgspec.ValidationError(
            f"message is truncated or exceeds {MAX_MESSAGE_BYTES} bytes"
        )
    return decompressed
