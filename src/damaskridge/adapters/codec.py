"""The msgpack codec of all messages between the system's processes."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ["MsgpackCodec"]


class MsgpackCodec(CodecBase):
    """
    Encodes message types of the model and validates them when decoding.

    The message type that grpclib hands over is the type of `msgspec`, which may
    be a union.
    """

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message; `msgspec.ValidationError` if invalid."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)
