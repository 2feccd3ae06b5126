"""Tunnels that this host serves: it connects peers to upstreams it can reach."""

from collections.abc import Callable
from contextlib import ExitStack

import anyio
import attrs

from rampwick_policy import BUSY, LEAVING, UNREACHABLE, Member
from rampwick_schema import ReprMixin, TunnelData, TunnelEnd, TunnelHello, TunnelReply

from .._errors import PeerError
from .._logs import ComponentLogger
from ..upstream import UpstreamSocket, connect_directly
from ._stream import PeerStream

#: Time after its last bytes for which a tunnel counts as active: more than the pause
#: between two events of a stream.
ACTIVE_SECONDS = 1.0

#: Time for the peer to close a tunnel whose upstream has closed the connection.
CLOSE_TIMEOUT_SECONDS = 2.0

log = ComponentLogger("tunnels")


def _pass() -> None:
    return


class ServedTunnel:
    """One tunnel: forwards bytes between a peer and an upstream until one side ends."""

    def __init__(
        self,
        stream: PeerStream,
        upstream: UpstreamSocket,
        read_clock: Callable[[], float],
    ) -> None:
        self._stream = stream
        self._upstream = upstream
        self._read_clock = read_clock
        #: Whether the last bytes came from the peer, so that an answer is due.
        self._awaits_answer = False
        self._used_at_seconds = read_clock()

    @property
    def is_active(self) -> bool:
        """Whether an answer is due, or part of one has arrived just now."""
        idle_seconds = self._read_clock() - self._used_at_seconds
        return self._awaits_answer or idle_seconds < ACTIVE_SECONDS

    async def run(self) -> None:
        """Forward until the tunnel ends, then close both sides."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward_requests, tasks.cancel_scope)
                await self._forward_answers()
                # The peer closes the tunnel once it has read the end.
                with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
                    await anyio.sleep_forever()
                tasks.cancel_scope.cancel()
        finally:
            if self._awaits_answer:
                # What the upstream has not received must not reach it any more.
                self._upstream.discard_unsent()
            self._upstream.close()

    async def _forward_requests(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                message = await self._stream.receive()
                if not isinstance(message, TunnelData):
                    break
                self._awaits_answer = True
                await self._upstream.send(message.data, _pass)
        except PeerError:
            # The caller's host has closed the tunnel.
            pass
        except OSError:
            # The connection to the upstream has failed. The other direction forwards
            # what the upstream had sent before, and the error as the tunnel's end.
            return
        scope.cancel()

    async def _forward_answers(self) -> None:
        end = TunnelEnd()
        try:
            while data := await self._upstream.receive():
                self._awaits_answer = False
                self._used_at_seconds = self._read_clock()
                await self._stream.send_all(TunnelData(data))
        except OSError as error:
            end = TunnelEnd(str(error) or type(error).__name__)
        except PeerError:
            return
        self._awaits_answer = False
        await self._send_end(end)

    async def _send_end(self, end: TunnelEnd) -> None:
        try:
            await self._stream.send_all(end)
        except PeerError:
            # The peer has left already.
            return


@attrs.frozen(repr=False)
class TunnelsView(ReprMixin):
    """The tunnels of a host, in both directions."""

    #: Open tunnels of this host, by the peer that serves them.
    opened: dict[str, int]
    #: Open tunnels that this host serves, and the tunnels requested so far by result.
    served_count: int
    results: dict[str, int]


class TunnelServer:
    """Serves tunnels to peers, within a limit."""

    def __init__(
        self,
        max_count: int,
        find_refusal: Callable[[str], str],
        read_clock: Callable[[], float],
    ) -> None:
        self._max_count = max_count
        self._read_clock = read_clock
        #: Returns why this host does not connect to an address; empty if it does.
        self._find_refusal = find_refusal
        self._tunnels: set[ServedTunnel] = set()
        self.is_leaving = False
        #: Number of tunnels opened and refused so far, by result.
        self.results: dict[str, int] = {}

    @property
    def open_count(self) -> int:
        """Number of open tunnels."""
        return len(self._tunnels)

    @property
    def active_count(self) -> int:
        """Number of tunnels that carry a request or its answer."""
        return sum(tunnel.is_active for tunnel in self._tunnels)

    async def serve(self, stream: PeerStream, peer: Member) -> None:
        """Serve a tunnel to an authenticated peer until it ends."""
        request = stream.tunnel
        assert request is not None
        stream.begin_tunnel()
        refusal = self._refusal(request)
        upstream: UpstreamSocket | None = None
        if not refusal:
            try:
                upstream = await connect_directly(request.upstream_address)
            except (OSError, TimeoutError, ValueError):
                refusal = UNREACHABLE
        result = refusal or "opened"
        self.results[result] = self.results.get(result, 0) + 1
        log.info(
            "tunnel requested",
            peer=peer.name,
            upstream=request.upstream,
            refusal=refusal,
        )
        with ExitStack() as stack:
            if upstream is not None:
                stack.callback(upstream.close)
            await stream.send_all(TunnelReply(refusal))
            if upstream is None:
                with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
                    await stream.receive()
                return
            tunnel = ServedTunnel(stream, upstream, self._read_clock)
            self._tunnels.add(tunnel)
            stack.callback(self._tunnels.discard, tunnel)
            await tunnel.run()

    def _refusal(self, request: TunnelHello) -> str:
        if self.is_leaving:
            return LEAVING
        if len(self._tunnels) >= self._max_count:
            return BUSY
        return self._find_refusal(request.upstream_address)
