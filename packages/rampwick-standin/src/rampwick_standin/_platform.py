"""Simulated platform: an object API and a host list over HTTP.

``POST /faults`` injects faults: ``is_down`` fails every call with status 503,
``delay_seconds`` delays each call, ``lost_answers_count`` loses the responses of that
many writes after they took effect, ``is_stale`` serves reads from the state at the time
of the call to ``/faults``. ``POST /copy`` saves a copy of the store, and ``POST
/restore`` restores the store from that copy in a new era. ``POST /odd`` takes JSON of
any kind, which the host list then contains as it is; an empty body removes it.
"""

import copy
import json

import anyio
import attrs
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.base import BaseHTTPMiddleware, RequestResponseEndpoint
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rampwick_schema import HostEntry, HostList, structure, unstructure

from ._store import Item, ObjectStore, PreconditionError

#: Header with the store's era, in all responses after the first restore.
ERA_HEADER = "Rampwick-Store-Era"

#: Poll interval of a watch.
WATCH_STEP_SECONDS = 0.02


@attrs.define
class PlatformFaults:
    """Faults that are injected into the platform."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers_count: int = 0
    is_stale: bool = False


class PlatformStandIn:
    """State and HTTP application of a simulated platform."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.hosts = HostList(version=0, hosts=[])
        self.faults = PlatformFaults()
        self.calls_count = 0
        #: JSON of another writer among the hosts.
        self.odd_host = b""
        self._stale_store = self.store
        self._copy = copy.deepcopy(self.store)
        self.era = 0
        self.app = Starlette(
            routes=[
                Route("/v1/objects/{key:path}", self._get, methods=["GET"]),
                Route("/v1/objects/{key:path}", self._put, methods=["PUT"]),
                Route("/v1/objects", self._list),
                Route("/v1/watch", self._watch),
                Route("/v1/hosts", self._read_hosts, methods=["GET"]),
                Route("/v1/hosts", self._write_hosts, methods=["PUT"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/odd", self._set_odd, methods=["POST"]),
                Route("/copy", self._handle_copy, methods=["POST"]),
                Route("/restore", self._handle_restore, methods=["POST"]),
            ],
            middleware=[Middleware(BaseHTTPMiddleware, dispatch=self._add_era)],
        )

    def save_copy(self) -> None:
        """Save a copy of the store for a later restore."""
        self._copy = copy.deepcopy(self.store)

    def restore(self, eras_count: int = 1) -> None:
        """Restore the saved copy: later writes are lost, versions continue from it."""
        self.store = copy.deepcopy(self._copy)
        self._stale_store = self.store
        self.era += eras_count

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults."""
        if faults.is_stale and not self.faults.is_stale:
            self._stale_store = copy.deepcopy(self.store)
        self.faults = faults

    def set_hosts(self, entries: list[HostEntry]) -> None:
        """Replace the host list."""
        self.hosts = HostList(version=self.hosts.version + 1, hosts=entries)

    async def _add_era(
        self, request: Request, call_next: RequestResponseEndpoint
    ) -> Response:
        response = await call_next(request)
        if self.era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    @property
    def _visible_store(self) -> ObjectStore:
        return self._stale_store if self.faults.is_stale else self.store

    async def _apply_faults(self) -> Response | None:
        self.calls_count += 1
        await anyio.sleep(self.faults.delay_seconds)
        return Response(status_code=503) if self.faults.is_down else None

    def _consume_lost_answer(self) -> bool:
        if self.faults.lost_answers_count <= 0:
            return False
        self.faults.lost_answers_count -= 1
        return True

    async def _get(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        item = self._visible_store.get(request.path_params["key"])
        if item is None:
            return Response(status_code=404)
        return Response(item.value, headers={"ETag": f'"{item.version}"'})

    async def _put(self, request: Request) -> Response:
        value = await request.body()
        if failure := await self._apply_faults():
            return failure
        expected = request.headers.get("If-Match", '"0"').strip('"')
        try:
            version = self.store.put(request.path_params["key"], value, int(expected))
        except PreconditionError:
            return Response(status_code=412)
        if self._consume_lost_answer():
            return Response(status_code=504)
        return Response(headers={"ETag": f'"{version}"'})

    async def _list(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        prefix = request.query_params.get("prefix", "")
        after_key = request.query_params.get("after_key", "")
        return self._list_response(self._visible_store.list_items(prefix, after_key))

    async def _watch(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        prefix = request.query_params.get("prefix", "")
        after_version = int(request.query_params["after_version"])
        timeout_seconds = float(request.query_params["timeout_seconds"])
        era = self.era
        if after_version > self._visible_store.version:
            return Response(status_code=410)
        items: list[Item] = []
        with anyio.move_on_after(timeout_seconds):
            while not items and not self.faults.is_down:
                if self.era != era:
                    return Response(status_code=410)
                items = self._visible_store.written_after(prefix, after_version)
                await anyio.sleep(0 if items else WATCH_STEP_SECONDS)
        if self.faults.is_down:
            return Response(status_code=503)
        # Read again, since a write may have come after the last check. A response with
        # its version but without its object would hide it from the caller for good.
        return self._list_response(
            self._visible_store.written_after(prefix, after_version)
        )

    def _list_response(self, items: list[Item]) -> Response:
        objects = [
            {"key": item.key, "version": item.version, "value": item.value.decode()}
            for item in items
        ]
        return JSONResponse(
            {"version": self._visible_store.version, "objects": objects}
        )

    async def _read_hosts(self, request: Request) -> Response:
        if failure := await self._apply_faults():
            return failure
        hosts = [json.dumps(item).encode() for item in unstructure(self.hosts)["hosts"]]
        if self.odd_host:
            hosts.insert(len(hosts) // 2, self.odd_host)
        content = b'{"version":%d,"hosts":[%s]}' % (
            self.hosts.version,
            b",".join(hosts),
        )
        return Response(content, media_type="application/json")

    async def _write_hosts(self, request: Request) -> Response:
        entries = structure(
            json.loads(await request.body()), list[HostEntry], step="write hosts"
        )
        self.set_hosts(entries)
        return Response(status_code=204)

    async def _set_odd(self, request: Request) -> Response:
        self.odd_host = await request.body()
        # Hosts read a list whose version they know as unchanged.
        self.set_hosts(self.hosts.hosts)
        return Response(status_code=204)

    async def _handle_copy(self, request: Request) -> Response:
        self.save_copy()
        return Response(status_code=204)

    async def _handle_restore(self, request: Request) -> Response:
        self.restore()
        return Response(status_code=204)

    async def _set_faults(self, request: Request) -> Response:
        data = json.loads(await request.body())
        self.set_faults(structure(data, PlatformFaults, step="set faults"))
        return Response(status_code=204)
