"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from .http import Message, encode_json, read_message

Object = dict[str, Any]
PREFIX = "/-/objects/"


class Store:
    """Objects by kind and name, with conditional writes and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.kinds: dict[str, dict[str, Object]] = {}
        #: (revision, kind, tombstone, object) of each change.
        self.history: list[tuple[int, str, bool, Object]] = []
        self.changed = asyncio.Event()
        #: (kind, name, method, sender) of each write that was done.
        self.writes: list[tuple[str, str, str, str]] = []
        self.address = ""
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> asyncio.Server:
        """Listen on an address."""
        server = await asyncio.start_server(self._serve, ip, port)
        host, number = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{number}"
        return server

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server; return the revision."""
        return self._write(kind, name, spec)["metadata"]["revision"]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self._note(kind, True, found)

    def _write(self, kind: str, name: str, spec: Any) -> Object:
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        created = known["metadata"]["create_revision"] if known else self.revision + 1
        metadata = {
            "name": name,
            "revision": self.revision + 1,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._note(kind, False, objects[name])
        return objects[name]

    def _note(self, kind: str, is_tombstone: bool, item: Object) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, is_tombstone, item))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while request := await read_message(reader):
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query))
        if not parts.path.startswith(PREFIX):
            return encode_json(404, {})
        kind, _, name = parts.path[len(PREFIX) :].partition("/")
        if request.method == "GET":
            if "watch" in query:
                return await self._watch(
                    kind, int(query["watch"]), int(query.get("wait_ms", 0))
                )
            return self._get(kind, name, query)
        return self._change(request, kind, name)

    def _get(self, kind: str, name: str, query: dict[str, str]) -> bytes:
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return encode_json(200, found) if found else encode_json(404, {})
        after = query.get("after", "")
        items = [objects[key] for key in sorted(objects) if key > after]
        return encode_json(
            200, {"items": items, "truncated": False, "store_revision": self.revision}
        )

    async def _watch(self, kind: str, since: int, wait_ms: int) -> bytes:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            events = [
                {"tombstone": is_tombstone, "object": item}
                for revision, of_kind, is_tombstone, item in self.history
                if revision > since and of_kind == kind
            ]
            left = end - loop.time()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
        return encode_json(200, {"events": events, "store_revision": self.revision})

    def _change(self, request: Message, kind: str, name: str) -> bytes:
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata") or {}
        objects = self.kinds.setdefault(kind, {})
        if request.method == "POST":
            name = metadata["name"]
            if name in objects:
                return encode_json(409, objects[name])
        elif name not in objects:
            return encode_json(404, {})
        elif metadata.get("revision") not in (
            None,
            objects[name]["metadata"]["revision"],
        ):
            return encode_json(409, objects[name])
        sender = str((body.get("spec") or {}).get("holder", ""))
        self.writes.append((kind, name, request.method, sender))
        if request.method == "DELETE":
            self.remove(kind, name)
            return encode_json(200, {})
        return encode_json(200, self._write(kind, name, body.get("spec")))
