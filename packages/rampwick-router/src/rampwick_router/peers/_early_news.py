"""News that does not wait for the next interval.

Long prompts, surges under limits, upstreams that end under requests or name a rate:
what all hosts do until they hear of these costs more than a few messages.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

import anyio

from rampwick_schema import EndNews, RateNews

from ._links import PeerLinks
from ._roles import Roles
from ._summaries import SummaryTeller

#: Least time between two words of long prompts, about a way there and back and the
#: handling of each by every host.
LOAD_NEWS_SECONDS = 0.05

#: Least time between two words of surges: a relay adds up its hall for each.
SURGE_NEWS_SECONDS = 0.1

#: Time for which facts are gathered: all attempts that an end breaks do so within
#: milliseconds, and what they show is told in one message.
FACT_NEWS_SECONDS = 0.02

#: Time between two tellings of the same, while it is new.
FACT_REPEAT_SECONDS = 1.0

#: Messages that tell of facts.
FactNews = EndNews | RateNews


class FactSource(Protocol):
    """Facts that all hosts must know: told at once, again, and to who comes."""

    #: Called when there is something to tell.
    note_news: Callable[[], None]

    def take_news(self, now_seconds: float) -> FactNews | None:
        """Return the message on what was not told yet; none if nothing is new."""

    def repeat_news(self, now_seconds: float) -> FactNews | None:
        """Return the message on what was told of late; none if nothing was."""

    def greeting(self, now_seconds: float) -> FactNews | None:
        """Return the message to a host that has just come; none if there is none."""


class EarlyNews:
    """Tells peers at once of what can't wait."""

    def __init__(
        self,
        facts: Iterable[FactSource],
        summaries: SummaryTeller,
        links: PeerLinks,
        roles: Roles,
        read_clock: Callable[[], float],
    ) -> None:
        self._summaries = summaries
        self._links = links
        self._roles = roles
        self._has_load = anyio.Event()
        self._has_surge = anyio.Event()
        self._tellers = [
            FactTeller(source, self._broadcast, read_clock) for source in facts
        ]
        #: Whether the surge to be told of is of this hall, and of another one.
        self._is_own_surge = False
        self._is_surge_elsewhere = False

    async def run(self) -> None:
        """Tell until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_load)
            tasks.start_soon(self._tell_surges)
            for teller in self._tellers:
                tasks.start_soon(teller.run)

    def note_load(self) -> None:
        """Note that a runner was sent a long prompt."""
        self._has_load.set()

    async def _tell_load(self) -> None:
        """Tell of long prompts, in a small fleet.

        All hosts that see a burst would send their prompts to the same idle runner
        until they hear of each other.
        """
        while True:
            await self._has_load.wait()
            self._has_load = anyio.Event()
            if not self._roles.table.is_large:
                self._summaries.tell_own()
            await anyio.sleep(LOAD_NEWS_SECONDS)

    def note_surge(self) -> None:
        """Note that a workspace near its limit asks this hall for much more."""
        self._is_own_surge = True
        self._has_surge.set()

    def note_surge_elsewhere(self) -> None:
        """Note that another hall tells of a surge, for this hall's hosts to hear."""
        self._is_surge_elsewhere = True
        self._has_surge.set()

    async def _tell_surges(self) -> None:
        while True:
            await self._has_surge.wait()
            self._has_surge = anyio.Event()
            self.tell_surge()
            await anyio.sleep(SURGE_NEWS_SECONDS)

    def tell_surge(self) -> None:
        """Tell of a surge under a limit, and pass it on where the whole hall sees it.

        All hosts let go of a surge what they let go before, until they hear of it. A
        word costs a relay's whole hall, so one that changes nothing goes no further.
        """
        is_own, self._is_own_surge = self._is_own_surge, False
        is_elsewhere, self._is_surge_elsewhere = self._is_surge_elsewhere, False
        self._summaries.tell_own(has_surged=is_own)
        if not self._roles.is_relay():
            return
        is_own = is_own and self._summaries.is_hall_surge()
        if is_own or is_elsewhere:
            self._summaries.tell_fleet()
        if is_own:
            self._summaries.tell_hall(has_surged=True)

    def greetings(self, now_seconds: float) -> list[FactNews]:
        """Return the messages with facts that a host is to know that has just come."""
        greetings = (teller.source.greeting(now_seconds) for teller in self._tellers)
        return [message for message in greetings if message is not None]

    def _broadcast(self, news: FactNews) -> None:
        is_relay = self._roles.is_relay()
        self._links.broadcast(news, lambda peer: is_relay or self._roles.is_told(peer))


class FactTeller:
    """Tells the others of one kind of facts, soon and then again for a while."""

    def __init__(
        self,
        source: FactSource,
        broadcast: Callable[[FactNews], None],
        read_clock: Callable[[], float],
    ) -> None:
        self.source = source
        self._broadcast = broadcast
        self._read_clock = read_clock
        self._has_news = anyio.Event()
        source.note_news = self.wake

    def wake(self) -> None:
        """Note that there is something to tell."""
        self._has_news.set()

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(FACT_NEWS_SECONDS)
            self._has_news = anyio.Event()
            news = self.source.take_news(self._read_clock())
            while news is not None:
                self._broadcast(news)
                with anyio.move_on_after(FACT_REPEAT_SECONDS):
                    await self._has_news.wait()
                news = self.source.repeat_news(self._read_clock())
                if self._has_news.is_set():
                    break
