"""Urgent updates, sent outside the regular gossip interval.

They cover long prompts, bursts under limits, and upstreams that crash, shut down or set
a request rate. Until hosts receive such an update, their wrong decisions cost more than
the few extra messages.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import anyio

from rampwick_policy import RequestQuarantine
from rampwick_schema import (
    BegunStreamsUpdate,
    CrashUpdate,
    LeavingUpdate,
    RateLimitUpdate,
)

from .._unexpected_errors import keep_running
from ._links import Link, PeerLinks
from ._roles import Roles
from ._stream_records import StreamRecordSender
from ._summaries import SummaryPublisher

#: Minimum time between two updates about long prompts: one round trip plus the time in
#: which every host handles an update.
LOAD_UPDATE_SECONDS = 0.05

#: Minimum time between two updates about bursts: a relay aggregates its whole hall for
#: each of them.
BURST_UPDATE_SECONDS = 0.1

#: Batching interval: all attempts that a crash breaks fail within milliseconds of each
#: other, and share one message.
UPDATE_BATCH_SECONDS = 0.02

#: Time between two retransmissions of an update.
RETRANSMIT_INTERVAL_SECONDS = 1.0

#: Messages that all hosts must receive.
Update = CrashUpdate | RateLimitUpdate | LeavingUpdate | BegunStreamsUpdate


def _default_batch() -> float:
    return UPDATE_BATCH_SECONDS


def _always() -> bool:
    return True


class UpdateSource(Protocol):
    """Source of updates that all hosts must receive."""

    #: Called when there is an update to broadcast.
    on_update: Callable[[], None]

    def take_update(self, now_seconds: float) -> Update | None:
        """Return the update with changes not yet broadcast, if any."""

    def take_retransmission(self, now_seconds: float) -> Update | None:
        """Return the update with recently broadcast changes, if any."""

    def initial_state(self, now_seconds: float) -> Update | None:
        """Return the state that a newly connected host needs, if any."""


class UrgentUpdates:
    """Broadcasts urgent updates immediately."""

    def __init__(
        self,
        sources: Iterable[UpdateSource],
        summaries: SummaryPublisher,
        links: PeerLinks,
        roles: Roles,
        read_clock: Callable[[], float],
        records: StreamRecordSender | None = None,
        quarantine: RequestQuarantine | None = None,
    ) -> None:
        """Send the updates of ``sources``.

        ``records`` sends the records of begun streams, if there are any, and
        ``quarantine`` is the source for crashes; both set their batching intervals.
        """
        self._summaries = summaries
        self._links = links
        self._read_clock = read_clock
        self._records = records
        self._roles = roles
        self._has_load = anyio.Event()
        self._has_burst = anyio.Event()
        self._broadcasters = [
            UpdateBroadcaster(source, self._broadcast, read_clock) for source in sources
        ]
        if records is not None:
            self._broadcasters += [
                UpdateBroadcaster(
                    outbox,
                    broadcast,
                    read_clock,
                    outbox.batch_seconds,
                    records.is_ready,
                )
                for outbox, broadcast in records.outboxes()
            ]
        if quarantine is not None:
            self._broadcasters.append(
                UpdateBroadcaster(
                    quarantine, self._broadcast, read_clock, quarantine.batch_seconds
                )
            )
        #: Whether there is a burst to broadcast from this hall, and from another hall.
        self._is_own_burst = False
        self._is_remote_burst = False

    async def run(self) -> None:
        """Broadcast until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_running, "load updates", self._broadcast_load)
            tasks.start_soon(keep_running, "burst updates", self._broadcast_bursts)
            for broadcaster in self._broadcasters:
                tasks.start_soon(keep_running, "urgent updates", broadcaster.run)

    def note_load(self) -> None:
        """Record that a runner was sent a long prompt."""
        self._has_load.set()

    async def _broadcast_load(self) -> None:
        """Broadcast the load that long prompts cause, in a small fleet.

        Otherwise all hosts that receive a burst would send their prompts to the same
        idle runner until they receive each other's next summary.
        """
        while True:
            await self._has_load.wait()
            self._has_load = anyio.Event()
            if not self._roles.table.is_large:
                self._summaries.publish_own()
            await anyio.sleep(LOAD_UPDATE_SECONDS)

    def note_burst(self) -> None:
        """Record a burst: demand of a workspace near its limit grew sharply here."""
        self._is_own_burst = True
        self._has_burst.set()

    def note_remote_burst(self) -> None:
        """Record a burst in another hall, to be forwarded to this hall."""
        self._is_remote_burst = True
        self._has_burst.set()

    async def _broadcast_bursts(self) -> None:
        while True:
            await self._has_burst.wait()
            self._has_burst = anyio.Event()
            self.broadcast_burst()
            await anyio.sleep(BURST_UPDATE_SECONDS)

    def broadcast_burst(self) -> None:
        """Broadcast a burst under a limit; a relay forwards a burst of its whole hall.

        Until hosts receive the update, they admit as much as before the burst. An
        update costs a summary of the relay's whole hall, so a relay does not forward an
        update that changes nothing for its hall.
        """
        is_own, self._is_own_burst = self._is_own_burst, False
        is_remote, self._is_remote_burst = self._is_remote_burst, False
        self._summaries.publish_own(has_surged=is_own)
        if not self._roles.is_relay():
            return
        is_own = is_own and self._summaries.is_hall_burst()
        if is_own or is_remote:
            self._summaries.publish_fleet(has_surged=True)
        if is_own:
            self._summaries.publish_hall(has_surged=True)

    def send_initial_states(self, link: Link) -> None:
        """Send the updates that a newly connected host needs."""
        now_seconds = self._read_clock()
        for broadcaster in self._broadcasters:
            state = broadcaster.source.initial_state(now_seconds)
            if state is not None:
                link.put(state)
        if self._records is not None:
            self._records.send_initial_state(link, now_seconds)

    def _broadcast(self, update: Update) -> None:
        is_relay = self._roles.is_relay()
        self._links.broadcast(
            update, lambda peer: is_relay or self._roles.is_recipient(peer)
        )


class UpdateBroadcaster:
    """Broadcasts updates from one source and retransmits them for a limited time."""

    def __init__(
        self,
        source: UpdateSource,
        broadcast: Callable[[Any], None],
        read_clock: Callable[[], float],
        read_batch_seconds: Callable[[], float] = _default_batch,
        is_ready: Callable[[], bool] = _always,
    ) -> None:
        """While ``is_ready`` returns false, updates stay in the source."""
        self._is_ready = is_ready
        self.source = source
        self._read_batch_seconds = read_batch_seconds
        self._broadcast = broadcast
        self._read_clock = read_clock
        self._has_update = anyio.Event()
        source.on_update = self.wake

    def wake(self) -> None:
        """Start broadcasting, since the source has an update."""
        self._has_update.set()

    async def run(self) -> None:
        """Broadcast until cancelled."""
        while True:
            await self._has_update.wait()
            await anyio.sleep(self._read_batch_seconds())
            while not self._is_ready():
                await anyio.sleep(self._read_batch_seconds())
            self._has_update = anyio.Event()
            update = self.source.take_update(self._read_clock())
            while update is not None:
                self._broadcast(update)
                with anyio.move_on_after(RETRANSMIT_INTERVAL_SECONDS):
                    await self._has_update.wait()
                update = self.source.take_retransmission(self._read_clock())
                if self._has_update.is_set():
                    break
