"""Peer messages as bytes: a four-byte length, then a msgpack array.

The array holds the class's code, then its fields in the schema's order.
Decoding raises nothing but MessageError, whatever the bytes are.
"""

from typing import Any

import msgpack

from ._convert import structure_row, unstructure_row
from ._errors import DataError, MessageError
from ._generated_peer import MESSAGES

#: Bytes of the length that goes before each message, in network order.
LENGTH_BYTES = 4

#: Version of the protocol between peers; a peer with another one is refused.
PROTOCOL_VERSION = 2

STEP = "decode message"


def encode_message(message: Any) -> bytes:
    """Return the message with its length in front."""
    body = msgpack.packb([message.CODE, *unstructure_row(message)])
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_message(body: bytes, *, peer: str = "") -> Any:
    """Return the message in ``body``, which comes without its length."""
    try:
        data = msgpack.unpackb(body, max_map_len=100_000, strict_map_key=True)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageError(str(error) or "not msgpack", step=STEP, peer=peer) from None
    cls = _class_of(data, peer)
    try:
        return structure_row(data[1:], cls, step=STEP, peer=peer)
    except DataError as error:
        raise MessageError(error.message, step=STEP, peer=peer) from None


def _class_of(data: Any, peer: str) -> type:
    if not isinstance(data, list) or not data or type(data[0]) is not int:
        raise MessageError("no array with a code", step=STEP, peer=peer)
    if data[0] not in MESSAGES:
        raise MessageError(f"unknown code {data[0]}", step=STEP, peer=peer)
    return MESSAGES[data[0]]
