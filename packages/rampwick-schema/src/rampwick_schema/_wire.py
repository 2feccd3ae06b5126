"""Encoding of peer messages: a four-byte length followed by a msgpack array.

The array contains the code of the message class, then its fields in schema order.
Decoding raises only MessageError, whatever the input.
"""

from typing import Any

import msgpack

from ._convert import structure_row, unstructure_row
from ._errors import DataError, MessageError
from ._generated_peer import MESSAGES

#: Size of the length prefix of each message, which is in network byte order.
LENGTH_BYTES = 4

#: Version of the peer protocol; connections of peers with another version are refused.
PROTOCOL_VERSION = 2

#: Version of the set of messages: the highest code. Hosts announce the one that they
#: decode, since an unknown message ends a link.
MESSAGES_VERSION = max(MESSAGES)

#: Version that hosts decode which announce none.
UNANNOUNCED_MESSAGES_VERSION = 23

STEP = "decode message"


def encode_message(message: Any) -> bytes:
    """Return the encoded message with its length prefix."""
    body = msgpack.packb([message.CODE, *unstructure_row(message)])
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_message(body: bytes, *, peer: str = "") -> Any:
    """Return the message in ``body``, which excludes the length prefix."""
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
