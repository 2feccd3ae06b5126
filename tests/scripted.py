"""Scripted upstreams, an in-memory store, and hosts that route to the upstreams."""

import hashlib
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import h11
import httpx

from rampwick_platform import (
    HttpObjectApi,
    KindState,
    Listing,
    StoredObject,
    VersionConflictError,
)
from rampwick_platform._records import decode_record, encode_record
from rampwick_router import Integration, run_daemon
from rampwick_router._native_dialect import NATIVE_DIALECTS
from rampwick_router.upstream._tcp_socket import TcpSocket
from rampwick_schema import (
    HostEntry,
    Node,
    Route,
    Routing,
    Service,
    Tree,
    WeightedService,
    WeightsTarget,
    parse_settings,
)
from rampwick_standin import PlatformStandIn

KEY = "key-labels"
HOST = "labels.example"

ServiceAnswer = Callable[["Exchange"], Awaitable[None]]


@attrs.define
class Exchange:
    """One request at a scripted upstream, with its raw connection."""

    upstream: "ScriptedUpstream"
    stream: anyio.abc.SocketStream
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Request id that the upstream received."""
        return self.headers["rampwick-request-id"]

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        await self.stream.send(data)

    async def answer(
        self, body: bytes = b"done", status: int = 200, extra: bytes = b"", **options
    ) -> None:
        """Send a complete, framed and signed response."""
        await self.send(self.head(status, extra, length=len(body), **options) + body)

    def head(
        self,
        status: int = 200,
        extra: bytes = b"",
        length: int | None = None,
        request_id: str | None = None,
        signed: bool = True,
    ) -> bytes:
        """Return a response head."""
        lines = [
            b"HTTP/1.1 %d Status" % status,
            b"Rampwick-Request-Id: " + (request_id or self.request_id).encode(),
        ]
        if signed:
            lines.append(b"Rampwick-Incarnation: " + self.upstream.name.encode())
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        if extra:
            lines.append(extra)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def reset(self) -> None:
        """Make the close of the connection a reset."""
        set_reset_on_close(self.stream.extra(anyio.abc.SocketAttribute.raw_socket))


def set_reset_on_close(raw: socket.socket) -> None:
    """Make the close of a connection a reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@asynccontextmanager
async def open_reset_connection(
    received: bytes = b"", unread: bytes = b""
) -> AsyncIterator[TcpSocket]:
    """Yield a connection that its peer has reset.

    Before the reset the peer sent bytes that were received, and others that were not.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        opened = await TcpSocket.connect(f"127.0.0.1:{port}")
        remote, _ = listener.accept()
        with remote:
            if received:
                remote.send(received)
                assert await opened.receive() == received
            if unread:
                remote.send(unread)
            set_reset_on_close(remote)
        try:
            yield opened
        finally:
            opened.close()


async def answer_done(exchange: Exchange) -> None:
    """Respond like a healthy service."""
    await exchange.answer()


class Hangup(Exception):
    """Raised by a script to close the connection."""


class ScriptedUpstream:
    """A TCP server that runs one script per request and repeats the last script."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""
        self.requests: list[Exchange] = []
        self.connections_count = 0
        self.open_count = 0
        self.scripts: list[ServiceAnswer] = [answer_done]

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Listen on loopback until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections_count += 1
        self.open_count += 1
        try:
            async with stream:
                await self._answer_all(stream)
        except (Hangup, anyio.EndOfStream, OSError):
            return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            self.open_count -= 1

    async def _answer_all(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            exchange = await self._read(stream, connection)
            if exchange is None:
                return
            if exchange.target == "/load":
                await exchange.send(b"HTTP/1.1 204 Well\r\n\r\n")
                connection = h11.Connection(h11.SERVER)
                continue
            self.requests.append(exchange)
            script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
            await script(exchange)
            # Scripts bypass the parser's sending side, so it is replaced by a new one.
            connection = h11.Connection(h11.SERVER)

    async def _read(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> Exchange | None:
        request = None
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert request is not None
                headers = {
                    name.decode(): value.decode() for name, value in request.headers
                }
                method, target = request.method.decode(), request.target.decode()
                return Exchange(self, stream, method, target, headers, body)
            else:
                return None


class MemoryStore:
    """An in-memory object API with watches and fault injection."""

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, StoredObject] = {}
        self.log: list[StoredObject] = []
        self.changed = anyio.Event()
        #: Raised by every call unless None.
        self.failure: Exception | None = None
        #: Number of calls by kind, which hosts log as those of the platform's client.
        self.calls: Counter[str] = Counter()
        self.era = 0

    def write(self, key: str, record) -> int:
        """Write a record on behalf of another client."""
        self.version += 1
        stored = StoredObject(key, self.version, encode_record(record))
        self.objects[key] = stored
        self._publish(stored)
        return self.version

    def delete(self, key: str) -> None:
        """Delete a record on behalf of another client."""
        self.version += 1
        tombstone = attrs.evolve(
            self.objects.pop(key), version=self.version, is_deleted=True
        )
        self._publish(tombstone)

    def _publish(self, stored: StoredObject) -> None:
        self.log.append(stored)
        self.changed.set()
        self.changed = anyio.Event()

    def _begin(self, call: str) -> None:
        self.calls[call] += 1
        if self.failure is not None:
            raise self.failure

    async def get(self, key: str) -> StoredObject | None:
        self._begin(f"get {key}")
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        self._begin(f"put {key}")
        current = self.objects[key].version if key in self.objects else 0
        if current != expected_version:
            raise VersionConflictError("changed", step="put")
        self.version += 1
        self.objects[key] = StoredObject(key, self.version, value)
        self._publish(self.objects[key])
        return self.version

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        self._begin(f"list {prefix}")
        items = [item for key, item in self.objects.items() if key.startswith(prefix)]
        return Listing(self.version, items)

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        self._begin(f"watch {prefix}")
        with anyio.move_on_after(timeout_seconds):
            while not self._changes_after(prefix, after_version):
                await self.changed.wait()
                if self.failure is not None:
                    raise self.failure
        # Read again, because a change may arrive in the loop iteration in which the
        # time-out ends. A listing with its version but without the change would hide
        # the change permanently.
        return Listing(self.version, self._changes_after(prefix, after_version))

    def _changes_after(self, prefix: str, after_version: int) -> list[StoredObject]:
        return [
            item
            for item in self.log
            if item.version > after_version and item.key.startswith(prefix)
        ]


class NativeDecoder:
    """Reads rampwick's native records from a store."""

    configuration_prefix = "config/"
    upstreams_prefix = "upstreams/"
    targets_prefix = "targets/"

    def read_tree(self, state: KindState, on_problem) -> Tree | None:
        stored = state.objects.get("config/main")
        return decode_record(stored, Tree) if stored else None

    def read_upstream(self, stored: StoredObject) -> HostEntry:
        return decode_record(stored, HostEntry)

    def read_target(self, stored: StoredObject) -> WeightsTarget:
        return decode_record(stored, WeightsTarget)


def make_tree(revision: int = 1, **options) -> Tree:
    """Return a tree with one workspace and a few routes to two services."""
    services = [
        Service("labels"),
        Service("notes"),
    ]

    def make(name, prefix, service, **terms):
        terms = {"timeout_seconds": 5.0, "latency_target_seconds": 1.0, **terms}
        targets = [WeightedService(service)]
        return Route(name, HOST, prefix, targets, **terms)

    routes = [
        make("once", "/once/", "labels"),
        make("again", "/again/", "labels", is_repeatable=True, max_attempts_count=2),
        make(
            "stream",
            "/stream/",
            "notes",
            is_stream=True,
            is_resumable=True,
            max_attempts_count=2,
        ),
        make("brittle", "/brittle/", "notes", is_stream=True),
        make("open", "/open/", "labels", is_public=True),
    ]
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    nodes = {"/": Node(), "/t": Node(is_workspace=True, key_hashes=[key_hash])}
    routing = Routing(options.pop("routes", routes), services)
    return Tree(revision, options.pop("nodes", nodes), routing)


@attrs.define
class RoutedHost:
    """A daemon with routes and its address."""

    daemon: object
    address: str
    store: MemoryStore
    #: Addresses for peers and for operators.
    peer_address: str = ""
    admin_address: str = ""

    @property
    def upstreams_count(self) -> int:
        """Number of upstreams that the host knows."""
        return len(list(self.daemon.scheduler._scheduler.upstreams))

    async def call(
        self,
        path: str,
        *,
        request_id: str = "r1",
        method: str = "POST",
        body: bytes = b"",
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
    ) -> "CallerView":
        """Send one request on a new connection and return the response."""
        sent = {
            "Host": HOST,
            "Rampwick-Request-Id": request_id,
            "Content-Length": str(len(body)),
            **({"Authorization": f"Bearer {key}"} if key else {}),
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items()]
        host, _, port = self.address.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_response(stream)


@attrs.define
class CallerView:
    """One response as the caller received it."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def read_response(stream: anyio.abc.SocketStream) -> CallerView:
    """Read one response until its end or the end of the connection."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    view = CallerView()
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return view
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive())
            except anyio.EndOfStream:
                connection.receive_data(b"")
            except anyio.BrokenResourceError:
                return view
        elif isinstance(event, h11.Response):
            view.status = event.status_code
            view.headers = {
                name.decode(): value.decode() for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            view.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            view.is_whole = True
            return view
        else:
            return view


class RestorableStore(HttpObjectApi):
    """A client of a platform stand-in whose store can be restored from a copy."""

    def __init__(self, stand_in: PlatformStandIn | None = None) -> None:
        super().__init__(
            "http://store", call_timeout_seconds=1.0, calls_per_second=1000.0
        )
        self.stand_in = stand_in or PlatformStandIn()
        self._client = httpx.AsyncClient(
            transport=httpx.ASGITransport(self.stand_in.app), base_url="http://store"
        )

    def write(self, key: str, record) -> int:
        """Write a record on behalf of another client."""
        store = self.stand_in.store
        current = store.get(key)
        expected_version = current.version if current else 0
        return store.put(key, encode_record(record), expected_version)


@asynccontextmanager
async def run_routed(
    upstreams: dict[str, list[str]],
    platform: str = "",
    retry: str = "",
    store=None,
    versions: dict[str, str] | None = None,
    probe_interval_seconds: float = 0.0,
    life: str = "",
) -> AsyncIterator[tuple[RoutedHost, dict[str, ScriptedUpstream]]]:
    """Run a host with scripted upstreams, whose names are given by service.

    ``versions`` has the versions of their software, if their entries state them.
    """
    store = store or MemoryStore()
    store.write("config/main", make_tree())
    servers: dict[str, ScriptedUpstream] = {}
    async with anyio.create_task_group() as tasks:
        for service, names in upstreams.items():
            for name in names:
                servers[name] = ScriptedUpstream(name)
                await tasks.start(servers[name].serve)
                version = (versions or {}).get(name, "")
                list_upstream(store, servers[name], service, version=version)
        async with run_routed_host(
            store,
            platform=platform,
            retry=retry,
            has_versions=versions is not None,
            probe_interval_seconds=probe_interval_seconds,
            life=life,
        ) as host:
            with anyio.fail_after(20.0):
                while host.upstreams_count < len(servers):
                    await anyio.sleep(0.005)
            try:
                yield host, servers
            finally:
                tasks.cancel_scope.cancel()


@asynccontextmanager
async def run_routed_host(
    store,
    name: str = "entry-1",
    *,
    platform: str = "",
    retry: str = "",
    peers: str = "",
    has_versions: bool = False,
    probe_interval_seconds: float = 0.0,
    life: str = "",
) -> AsyncIterator[RoutedHost]:
    """Run a host on a store; yield it once it has the configuration."""
    settings = parse_settings(
        f'[host]\nname = "{name}"\nhall = "trnava"\n'
        f"[life]\nbalancer_delay_seconds = 0.0\n{life}\n"
        f"[platform]\nconfirm_wait_seconds = 0.05\n{platform}\n"
        f"[peers]\n{peers}\n"
        f"[retry]\nprobe_interval_seconds = {probe_interval_seconds}\n{retry}\n",
        source="test",
    )
    integration = Integration(
        store=None,  # type: ignore[arg-type]
        decoder=NativeDecoder(),
        dialects=NATIVE_DIALECTS,
        has_software_versions=has_versions,
    )
    async with run_daemon(settings, api=store, integration=integration) as (
        daemon,
        addresses,
    ):
        host = RoutedHost(
            daemon, addresses.entry, store, addresses.peer, addresses.admin
        )
        with anyio.fail_after(20.0):
            while daemon.follower.revision < 1:
                await anyio.sleep(0.005)
        yield host


async def all_received(
    servers: dict[str, ScriptedUpstream], requests_count: int
) -> None:
    """Return once the upstreams have received a number of requests together."""
    while sum(len(server.requests) for server in servers.values()) < requests_count:
        await anyio.sleep(0.005)


def list_upstream(
    store: MemoryStore,
    upstream: ScriptedUpstream,
    service: str,
    state: str = "live",
    version: str = "",
) -> None:
    """Write the store entry of an upstream."""
    entry = HostEntry(
        upstream.name,
        "service",
        "trnava",
        upstream.address,
        state=state,
        group=service,
        incarnation=upstream.name,
        software_version=version,
    )
    store.write(f"upstreams/{upstream.name}", entry)
