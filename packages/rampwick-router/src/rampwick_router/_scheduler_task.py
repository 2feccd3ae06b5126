"""The owner of the scheduler: everybody else hands it events and questions.

Events are handled one after another, each as it is handed in: all tasks run in one
thread, so that nothing is gained by a queue, and each turn of the event loop that a
queue takes costs as much as a decision.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from rampwick_platform import move_on_after_aligned
from rampwick_policy import (
    Action,
    CancelAttempt,
    Departures,
    Dispatch,
    Event,
    Notice,
    Obstacle,
    PeerView,
    Refuse,
    RequestArrived,
    RequestRates,
    Scheduler,
    Suspects,
    Tick,
)
from rampwick_schema import NamedWeights, ReprMixin, WeightsTarget

from ._logs import PartLogger

#: Time between two looks at deadlines, and while no request is open.
TICK_SECONDS = 0.1
IDLE_TICK_SECONDS = 1.0

#: Tokens to be read from which peers are told of a prompt at once.
LONG_PROMPT_TOKENS = 1000

#: Decisions remembered for operators who ask why.
EXPLAINED_COUNT = 1000

#: Attempts that wait to be cancelled at their upstreams.
CANCELS_COUNT = 10_000

log = PartLogger("beliefs")


@attrs.frozen(repr=False)
class Decision(ReprMixin):
    """One action with the time at which it was decided."""

    at_seconds: float
    action: Dispatch | Refuse
    #: Id under which the caller knows the request.
    caller_request_id: str


@attrs.frozen(repr=False)
class Mailbox(ReprMixin):
    """Where the decisions about an open request go."""

    decisions: MemoryObjectSendStream[Dispatch | Refuse]
    caller_request_id: str


class SchedulerTask:
    """Feeds the scheduler one event after another and spreads its actions."""

    def __init__(self, scheduler: Scheduler, read_clock: Callable[[], float]) -> None:
        self._scheduler = scheduler
        self._read_clock = read_clock
        #: Events that were handed in while another one was being handled.
        self._waiting: deque[Event] = deque()
        self._is_handling = False
        self._cancels: MemoryObjectSendStream[CancelAttempt]
        self.cancels: MemoryObjectReceiveStream[CancelAttempt]
        self._cancels, self.cancels = anyio.create_memory_object_stream(CANCELS_COUNT)
        self._mailboxes: dict[str, Mailbox] = {}
        self._decisions: deque[Decision] = deque(maxlen=EXPLAINED_COUNT)
        self._has_work = anyio.Event()
        #: Set when an upstream is to be asked at once how it is, then replaced.
        self.has_doubt = anyio.Event()
        #: Called when a prompt was sent that keeps a runner busy for a while.
        self.note_long_prompt: Callable[[], None] = _do_nothing
        #: Called when a workspace near its limit asks this host for much more.
        self.note_burst: Callable[[], None] = _do_nothing

    @property
    def suspects(self) -> Suspects:
        """Requests that upstreams end under."""
        return self._scheduler.suspects

    @property
    def rates(self) -> RequestRates:
        """Rates of requests that upstreams name."""
        return self._scheduler.pool.rates

    @property
    def departures(self) -> Departures:
        """Upstreams that announced their shutdown."""
        return self._scheduler.upstreams.departures

    def knows_rate(self, upstream: str) -> bool:
        """Return whether an upstream has named a rate of requests of late."""
        return self.rates.knows(upstream)

    def withdrawal(self, upstream: str, incarnation: str) -> Obstacle | None:
        """Return why a placed request must not be sent any more; none if it may."""
        pool = self._scheduler.pool
        return pool.withdrawal(upstream, incarnation, self._read_clock())

    @property
    def hosts_count(self) -> int:
        """Most hosts that were alive at once of late, this one included."""
        return self._scheduler.peers.known_hosts_count

    def peer_views(self, now_seconds: float) -> list[PeerView]:
        """Return the newest words of the peers that were heard of late."""
        return list(self._scheduler.peers.live(now_seconds))

    def live_names(self, now_seconds: float) -> set[str]:
        """Return the names of the peers that were heard of late."""
        return {view.name for view in self._scheduler.peers.live(now_seconds)}

    def targets(self) -> list[WeightsTarget]:
        """Return the newest weights that are known to be wanted."""
        return self._scheduler.upstreams.targets.all_newest()

    def named_weights(self) -> list[NamedWeights]:
        """Return when versions were named, where this host knows it."""
        return self._scheduler.upstreams.targets.ages(self._read_clock())

    def targets_age_seconds(self) -> float:
        """Return the age of this host's own reading of the targets, or infinity."""
        now_seconds = self._read_clock()
        return self._scheduler.upstreams.targets.read_age_seconds(now_seconds)

    def post(self, event: Event) -> None:
        """Hand in an event; it is handled now, or after the one under way."""
        self._waiting.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._waiting:
                self._handle(self._waiting.popleft(), self._read_clock())
        finally:
            self._is_handling = False

    def submit(
        self, arrival: RequestArrived, caller_request_id: str
    ) -> MemoryObjectReceiveStream[Dispatch | Refuse]:
        """Send a request; its decisions come through the returned stream."""
        outgoing, mailbox = anyio.create_memory_object_stream[Dispatch | Refuse](8)
        self._mailboxes[arrival.request_id] = Mailbox(outgoing, caller_request_id)
        self._has_work.set()
        self.post(arrival)
        return mailbox

    def close_mailbox(self, request_id: str) -> None:
        """Stop taking decisions for a request that has its final answer."""
        mailbox = self._mailboxes.pop(request_id, None)
        if mailbox is not None:
            mailbox.decisions.close()

    def look(self, question: Callable[[Scheduler, float], Any]) -> Any:
        """Return what a function of the scheduler and the present time returns."""
        return question(self._scheduler, self._read_clock())

    def note_members(self, count: int) -> None:
        """Note how many hosts of the fleet are known, heard or not."""
        self._scheduler.limits.note_members(count, self._read_clock())

    def decisions(self, request_id: str) -> list[Decision]:
        """Return what was decided of late for a request, by its id here or outside."""
        return [
            decision
            for decision in self._decisions
            if request_id in (decision.action.request_id, decision.caller_request_id)
        ]

    async def run(self) -> None:
        """Hand in the time, again and again until cancelled."""
        while True:
            if self._scheduler.open_count:
                await anyio.sleep(TICK_SECONDS)
            else:
                self._has_work = anyio.Event()
                with move_on_after_aligned(IDLE_TICK_SECONDS):
                    await self._has_work.wait()
            self.post(Tick())

    def _handle(self, event: Event, now_seconds: float) -> None:
        for action in self._scheduler.handle(event, now_seconds):
            self._carry_out(action, now_seconds)
        if isinstance(event, RequestArrived) and self._scheduler.limits.has_surged(
            event.workspace, now_seconds
        ):
            self.note_burst()
        for notice in self._scheduler.pool.notices.take():
            self._tell(notice)

    def _tell(self, notice: Notice) -> None:
        log.info(
            f"{notice.kind} is {_first_word(notice.after)}",
            name=notice.name,
            before=notice.before,
            after=notice.after,
            reason=notice.reason,
        )
        if notice.kind == "upstream":
            self.has_doubt.set()
            self.has_doubt = anyio.Event()

    def _carry_out(self, action: Action, now_seconds: float) -> None:
        if isinstance(action, CancelAttempt):
            try:
                self._cancels.send_nowait(action)
            except anyio.WouldBlock:
                # The engine ends it by itself once nobody reads its answer.
                return
            return
        if isinstance(action, Dispatch) and _is_long(action):
            self.note_long_prompt()
        mailbox = self._mailboxes.get(action.request_id)
        caller_id = mailbox.caller_request_id if mailbox else ""
        self._decisions.append(Decision(now_seconds, action, caller_id))
        if mailbox is None:
            return
        try:
            mailbox.decisions.send_nowait(action)
        except anyio.BrokenResourceError:
            self.close_mailbox(action.request_id)


def _is_long(dispatch: Dispatch) -> bool:
    choice = dispatch.choice
    return choice is not None and choice.missing_tokens >= LONG_PROMPT_TOKENS


def _do_nothing() -> None:
    return


def _first_word(text: str) -> str:
    # Sentences are few, so that their volume can be bounded one by one.
    return text.partition(" ")[0]
