"""Reading and writing of HTTP/1.1 messages on plain streams."""

import asyncio
import json
from typing import Any

Headers = dict[str, str]


class Message:
    """One request or response."""

    def __init__(self, start_line: str, headers: Headers, body: bytes) -> None:
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start_line.split()[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the start line and headers; None if the connection ended before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start_line, headers, b"")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body in chunks, or raise an error if it is cut."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


async def read_message(
    reader: asyncio.StreamReader, *, until_close: bool = False
) -> Message | None:
    """Return a whole message; raise an error if its body is cut.

    With ``until_close``, a body without a length ends with the connection.
    """
    message = await read_head(reader)
    if message is None:
        return None
    headers = message.headers
    if "chunked" in headers.get("transfer-encoding", ""):
        message.body = await read_chunks(reader)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif until_close:
        message.body = await reader.read()
    return message


def encode(start_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_json(status: int, data: Any) -> bytes:
    """Return a response with a JSON body."""
    # Lone surrogates stand for bytes that can't be read, which are sent as they are.
    body = json.dumps(data, ensure_ascii=False).encode("utf-8", "surrogateescape")
    return encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body)
