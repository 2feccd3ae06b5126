"""A store in the users' protocol whose records are given as raw JSON."""

from collections import Counter

import anyio
import attrs
import httpx
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from rampwick_adapter._objects import ObjectsTranslation
from rampwick_platform import HttpObjectApi

#: An entry as a sound server writes it.
ENTRY = {
    "service": "plain",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 1,
}


def make_spec(**fields: bytes) -> bytes:
    """Return the spec of an entry; the given fields are raw JSON."""
    texts = {name: orjson.dumps(value) for name, value in ENTRY.items()} | fields
    return (
        b"{"
        + b",".join(b'"%s":%s' % (name.encode(), raw) for name, raw in texts.items())
        + b"}"
    )


@attrs.define
class RawRecord:
    """The parts of a record as raw JSON, or a whole record."""

    name: bytes
    spec: bytes = attrs.field(factory=make_spec)
    status: bytes = b"null"
    #: Raw fields of the metadata; None for the revision that the store gives.
    revision: bytes | None = None
    more_metadata: bytes = b""
    metadata: bytes | None = None
    whole: bytes | None = None
    tombstone: bytes | None = None

    def encode(self, revision: int) -> bytes:
        """Return the record with its revision."""
        if self.whole is not None:
            return self.whole
        metadata = self.metadata or b'{"name":%s,"revision":%s%s}' % (
            self.name,
            self.revision or b"%d" % revision,
            self.more_metadata,
        )
        return b'{"metadata":%s,"spec":%s,"status":%s}' % (
            metadata,
            self.spec,
            self.status,
        )


class RawStore:
    """Lists and watches raw records of any kind, in the order of their names."""

    def __init__(self, page_size: int = 500) -> None:
        self.revision = 0
        self.page_size = page_size
        self._records: dict[tuple[str, bytes], tuple[int, RawRecord]] = {}
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = anyio.Event()
        self.listings_count = 0
        #: Whether all calls are refused.
        self.is_away = False
        #: How often the waiting watches of each kind were cut.
        self._cuts: Counter[str] = Counter()
        #: Number of watches that wait now, by kind.
        self.waiting_count: Counter[str] = Counter()
        routes = [
            Route("/-/objects/{kind}", self._list),
            Route("/-/objects/{kind}/{name}", self._get),
            Route("/-/objects/{kind}", self._refuse, methods=["POST"]),
        ]
        self.app = Starlette(routes=routes)

    def open_api(self) -> HttpObjectApi:
        """Return a client without connections."""
        api = HttpObjectApi(
            "http://store",
            call_timeout_seconds=5.0,
            calls_per_second=10_000.0,
            dialect=ObjectsTranslation(),
        )
        transport = httpx.ASGITransport(self.app)
        api._client = httpx.AsyncClient(transport=transport, base_url="http://store")
        return api

    def write(self, record: RawRecord, kind: str = "servers") -> None:
        """Write a record on behalf of any writer."""
        self.revision += 1
        self._records[kind, record.name] = (self.revision, record)
        self._publish(kind, record, b"false")

    def delete(self, name: bytes, kind: str = "servers") -> None:
        """Delete a record."""
        self.revision += 1
        _, record = self._records.pop((kind, name))
        self._publish(kind, record, b"true")

    def cut_watches(self, kind: str = "servers") -> None:
        """Cut the watches of a kind that wait now."""
        self._cuts[kind] += 1
        self._wake()

    def set_away(self, is_away: bool) -> None:
        """Begin or end an outage, in which all calls are refused and watches cut."""
        self.is_away = is_away
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _publish(self, kind: str, record: RawRecord, tombstone: bytes) -> None:
        event = b'{"object":%s,"tombstone":%s}' % (
            record.encode(self.revision),
            record.tombstone or tombstone,
        )
        self._events.append((self.revision, kind, event))
        self._wake()

    async def _list(self, request: Request) -> Response:
        if self.is_away:
            return await self._refuse(request)
        kind = request.path_params["kind"]
        if "watch" in request.query_params:
            return await self._watch(kind, request)
        self.listings_count += 1
        after = request.query_params.get("after", "")
        found = sorted(
            (name.strip(b'"'), record.encode(revision))
            for (of_kind, name), (revision, record) in self._records.items()
            if of_kind == kind and name.strip(b'"') > after.encode()
        )
        page = [record for _, record in found[: self.page_size]]
        is_truncated = len(found) > len(page)
        return self._answer(
            b'"items":[%s],"truncated":%s'
            % (b",".join(page), b"true" if is_truncated else b"false")
        )

    async def _watch(self, kind: str, request: Request) -> Response:
        after = int(request.query_params["watch"])
        cuts_count = self._cuts[kind]
        self.waiting_count[kind] += 1
        try:
            with anyio.move_on_after(int(request.query_params["wait_ms"]) / 1000):
                while not self._events_after(kind, after):
                    await self._changed.wait()
                    if self.is_away or self._cuts[kind] != cuts_count:
                        return await self._refuse(request)
        finally:
            self.waiting_count[kind] -= 1
        events = self._events_after(kind, after)
        return self._answer(b'"events":[%s]' % b",".join(events))

    def _events_after(self, kind: str, after: int) -> list[bytes]:
        return [
            event
            for revision, of_kind, event in self._events
            if revision > after and of_kind == kind
        ]

    def _answer(self, fields: bytes) -> Response:
        content = b'{"store_revision":%d,%s}' % (self.revision, fields)
        return Response(content, media_type="application/json")

    async def _get(self, request: Request) -> Response:
        if self.is_away:
            return await self._refuse(request)
        key = (request.path_params["kind"], orjson.dumps(request.path_params["name"]))
        if key not in self._records:
            return Response(b"{}", status_code=404)
        revision, record = self._records[key]
        return Response(record.encode(revision), media_type="application/json")

    async def _refuse(self, request: Request) -> Response:
        return Response(b"{}", status_code=503)
