"""Encoding of peer messages: a four-byte length followed by a msgpack array.

The array contains the code of the message class, then its fields in schema order.
Decoding raises only MessageError, whatever the input.
"""

import zlib
from typing import Any

import msgpack

from ._convert import structure_row, unstructure_row
from ._errors import DataError, MessageError
from ._generated_peer import MESSAGES, Compressed

#: Size of the length prefix of each message, which is in network byte order.
LENGTH_BYTES = 4

#: Version of the peer protocol; connections of peers with another version are refused.
PROTOCOL_VERSION = 2

#: Version of the set of messages: the highest code. Hosts announce the one that they
#: decode, since an unknown message ends a link.
MESSAGES_VERSION = max(MESSAGES)

#: Version that hosts decode which announce none.
UNANNOUNCED_MESSAGES_VERSION = 23

#: Fast, and almost as small as the best level.
COMPRESSION_LEVEL = 1

#: Maximum size of a message after decompression.
MAX_DECOMPRESSED_BYTES = 1_048_576

STEP = "decode message"


def encode_message(message: Any) -> bytes:
    """Return the encoded message with its length prefix."""
    body = msgpack.packb([message.CODE, *unstructure_row(message)])
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def compress_message(data: bytes) -> bytes:
    """Return an encoded message in compressed form, or unchanged if that is smaller."""
    body = data[LENGTH_BYTES:]
    if len(body) > MAX_DECOMPRESSED_BYTES:
        return data
    compressed = encode_message(Compressed(zlib.compress(body, COMPRESSION_LEVEL)))
    return min(compressed, data, key=len)


def decode_message(body: bytes, *, peer: str = "") -> Any:
    """Return the message in ``body``, which excludes the length prefix.

    A compressed message is returned as the message that it contains.
    """
    message = _decode(body, peer)
    if not isinstance(message, Compressed):
        return message
    message = _decode(_decompress(message.data, peer), peer)
    if isinstance(message, Compressed):
        raise MessageError("compressed twice", step=STEP, peer=peer)
    return message


def _decompress(data: bytes, peer: str) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise MessageError(str(error), step=STEP, peer=peer) from None
    if not decompressor.eof or decompressor.unused_data:
        raise MessageError("not a whole compressed message", step=STEP, peer=peer)
    return body


def _decode(body: bytes, peer: str) -> Any:
    try:
        data = msgpack.unpackb(body, max_map_len=100_000, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageError(str(error) or "not msgpack", step=STEP, peer=peer) from None
    cls = _find_class(data, peer)
    try:
        return structure_row(data[1:], cls, step=STEP, peer=peer)
    except DataError as error:
        raise MessageError(error.message, step=STEP, peer=peer) from None


def _find_class(data: Any, peer: str) -> type:
    if not isinstance(data, list) or not data or type(data[0]) is not int:
        raise MessageError(
            "not an array that starts with a message code", step=STEP, peer=peer
        )
    if data[0] not in MESSAGES:
        raise MessageError(f"unknown message code {data[0]}", step=STEP, peer=peer)
    return MESSAGES[data[0]]
