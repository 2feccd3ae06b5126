"""What hosts tell each other, and when.

Within a group every host tells every other a summary at each interval; it is the
heartbeat, too. In a large fleet the first host of each hall adds its hall's summaries
up and tells the other halls, where the first host passes them on.
"""

from collections.abc import Callable, Iterable
from typing import Any

import anyio

from rampwick_policy import HallNews, Member, MemberTable, PeerHeard
from rampwick_schema import (
    CacheNews,
    HallSummary,
    Members,
    Settings,
    StewardNews,
    Summary,
)

from ._cache_mail import CacheMail
from ._configuration import ConfigurationTask
from ._errors import PeerError
from ._logs import PartLogger
from ._metrics import Metrics
from ._peer_directory import PeerDirectory
from ._peer_links import Link, PeerLinks
from ._peer_news import (
    listed_members,
    steward_events,
    steward_news,
    to_member,
    to_record,
)
from ._peer_sync import PeerSync
from ._scheduler_task import SchedulerTask
from ._steward import StewardTask
from ._upstream_tasks import HostListTask

#: Hosts in a group up to which summaries go at the interval of the settings. In a
#: larger one the interval grows with the square of the size: each host hears fewer
#: messages a second, and each tells of a smaller part of the load.
FULL_RATE_GROUP_COUNT = 9

#: Time between two sums of a hall for other halls, as a multiple of the interval.
HALL_INTERVAL_FACTOR = 1.5

#: Time between two questions about the ages of a reader's knowledge.
CONFIRM_SECONDS = 0.6

#: Time without an answer after which the next reader in rank is asked.
CONFIRM_PATIENCE_SECONDS = 1.5

#: Time between two tellings of the steward's news where nothing changes.
STEWARD_INTERVAL_SECONDS = 0.5

#: Time after the start for which seeds are dialled whatever else is known.
SEEDING_SECONDS = 2.0

log = PartLogger("peers")


class GossipTask:
    """Tells peers what this host knows, and takes what they tell."""

    def __init__(
        self,
        own: Member,
        settings: Settings,
        scheduler: SchedulerTask,
        configuration: ConfigurationTask,
        metrics: Metrics,
        read_clock: Callable[[], float],
        hosts: HostListTask,
        steward: StewardTask,
    ) -> None:
        self._settings = settings.peers
        self._scheduler = scheduler
        self._configuration = configuration
        self._read_clock = read_clock
        self._hosts = hosts
        self._steward = steward
        #: Records in the store by which lonely hosts find others.
        self.directory: PeerDirectory | None = None
        self.table = MemberTable(own)
        self._links = PeerLinks(
            own, settings.peers, metrics, self._list_wanted, self._list_seeds
        )
        self._links.take = self._take
        self._links.note_opened = self._note_opened
        self._links.note_unreachable = self._note_unreachable
        self._sync = PeerSync(
            configuration.follower, configuration, hosts, scheduler, read_clock
        )
        self._hall_news = HallNews()
        self.cache_mail = CacheMail(
            self.table, self._links, scheduler, lambda: self.live_names
        )
        self._own_summary: Summary | None = None
        self._sequence = 0
        self._hall_sequence = 0
        self._began_seconds = read_clock()
        #: Addresses known from the settings.
        self.seeds = frozenset(settings.peers.seeds)
        #: Whether peers are told that this host takes no new requests.
        self.is_leaving = False

    async def run(self, listener: Any) -> None:
        """Link, tell and listen until cancelled."""
        if not self._settings.secret:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, listener)
            tasks.start_soon(self._tell_halls)
            tasks.start_soon(self.cache_mail.run)
            tasks.start_soon(self._keep_ages)
            tasks.start_soon(self._tell_steward_news)
            await self._tell_again()

    # Members and roles.

    @property
    def live_names(self) -> set[str]:
        """Names of the hosts that were heard of late."""
        return self._scheduler.live_names(self._read_clock())

    def is_reader(self) -> bool:
        """Return whether this host is to read the platform for its group."""
        return self.table.is_reader(self.live_names)

    def _list_wanted(self) -> list[Member]:
        self.table.learn(listed_members(self._hosts.host_list))
        if self.directory is not None:
            self.table.learn(self.directory.members())
        return self.table.wanted_links(self._read_clock())

    def _list_seeds(self) -> Iterable[str]:
        is_starting = self._read_clock() - self._began_seconds < SEEDING_SECONDS
        if is_starting or not self.live_names:
            return self.seeds
        return ()

    def _note_unreachable(self, name: str) -> None:
        self.table.note_unreachable(name, self._read_clock())

    def _note_opened(self, link: Link) -> None:
        known = [to_record(member) for member in self.table]
        link.put(Members(known))
        self._learn([link.peer])

    def _learn(self, members: Iterable[Member]) -> None:
        news = self.table.learn(members)
        if news:
            told = Members([to_record(member) for member in news])
            self._links.broadcast(told, lambda peer: True)

    # What comes in.

    def _take(self, link: Link, message: Any) -> None:
        if isinstance(message, Summary):
            self._take_summary(link, message)
        elif isinstance(message, HallSummary):
            self._take_hall(link, message)
        elif isinstance(message, StewardNews):
            self._take_steward_news(link, message)
        elif isinstance(message, CacheNews):
            self.cache_mail.take(link, message)
        elif isinstance(message, Members):
            self._learn(to_member(record) for record in message.members)
        elif not self._sync.take(link, message):
            name = type(message).__name__
            raise PeerError(f"{name} at this point", step="talk", peer=link.peer.name)

    def _take_summary(self, link: Link, summary: Summary) -> None:
        peer = link.peer
        if not self.table.is_in_group(peer.hall):
            # Its relay speaks for it.
            return
        self._scheduler.post(PeerHeard(peer.name, peer.hall, peer.incarnation, summary))
        self._sync.compare(link, summary)
        self._hall_news.take(summary)

    def _take_hall(self, link: Link, news: HallSummary) -> None:
        if self.table.is_in_group(news.hall):
            return
        name = f"hall {news.hall}"
        self._scheduler.post(PeerHeard(name, news.hall, news.incarnation, news.summary))
        if not self.table.is_in_group(link.peer.hall):
            self._sync.compare(link, news.summary)
            if self.table.is_relay(self.live_names):
                self._links.broadcast(news, self._is_of_group)

    def _take_steward_news(self, link: Link, news: StewardNews) -> None:
        if news.holder == self.table.own.name:
            return
        now_seconds = self._read_clock()
        self._steward.lease.note_heard(news.holder, news.lease_version, now_seconds)
        for event in steward_events(news, now_seconds):
            self._scheduler.post(event)
        self._relay(link, news)

    def _relay(self, link: Link, message: Any) -> None:
        """Pass a message on between halls, if that is this host's to do."""
        if not self.table.is_relay(self.live_names):
            return
        is_own = self.table.is_in_group(link.peer.hall)
        self._links.broadcast(
            message, self._is_of_another if is_own else self._is_of_group
        )

    # What goes out.

    def _is_of_group(self, peer: Member) -> bool:
        return self.table.is_in_group(peer.hall)

    def _is_of_another(self, peer: Member) -> bool:
        return not self.table.is_in_group(peer.hall)

    @property
    def _interval_seconds(self) -> float:
        size = len(self.table.group())
        factor = max(1.0, size / FULL_RATE_GROUP_COUNT)
        return self._settings.gossip_interval_seconds * factor**2

    async def _tell_again(self) -> None:
        while True:
            await self.tell_summary()
            changed = self._configuration.changed
            with anyio.move_on_after(self._interval_seconds):
                await changed.wait()

    async def tell_summary(self) -> None:
        """Send a summary to every peer of the group now."""
        self._sequence += 1
        sequence = self._sequence
        summary = await self._scheduler.ask(
            lambda scheduler, now_seconds: scheduler.summary(
                sequence,
                self._configuration.follower.revision,
                self.is_leaving,
                now_seconds,
            )
        )
        self._own_summary = summary
        self._links.broadcast(summary, self._is_of_group)
        self._hall_news.take(summary)

    async def _tell_steward_news(self) -> None:
        """Repeat what the steward has to say, while this host is it."""
        while True:
            if self._steward.is_holder:
                await self.tell_steward_news()
            await anyio.sleep(STEWARD_INTERVAL_SECONDS)

    async def tell_steward_news(self) -> None:
        """Tell all hosts of loads, weights and lease now."""
        targets = self._scheduler.targets()
        news = steward_news(
            self.table.own.name, self._steward, targets, self._read_clock()
        )
        is_relay = self.table.is_relay(self.live_names)
        self._links.broadcast(news, lambda peer: is_relay or self._is_of_group(peer))

    async def _tell_halls(self) -> None:
        """Tell other halls what this one says, while this host is its relay."""
        while True:
            if self.table.is_relay(self.live_names):
                await self._tell_hall()
            await anyio.sleep(self._interval_seconds * HALL_INTERVAL_FACTOR)

    async def _tell_hall(self) -> None:
        own = self.table.own
        self._hall_sequence += 1
        sequence = self._hall_sequence
        views = await self._scheduler.ask(
            lambda scheduler, now_seconds: [
                view.summary
                for view in scheduler.peers.live(now_seconds)
                if view.hall == own.hall
            ]
        )
        if self._own_summary is not None:
            views.append(self._own_summary)
        summary = self._hall_news.merge(views, sequence)
        told = HallSummary(own.hall, own.name, own.incarnation, summary)
        self._links.broadcast(told, self._is_of_another)

    async def _keep_ages(self) -> None:
        """Ask a reader for the ages of its knowledge, unless this host is one."""
        while True:
            await anyio.sleep(CONFIRM_SECONDS)
            if self.is_reader():
                continue
            link = self._reader_link()
            if link is not None:
                self._sync.ask_ages(link)

    def _reader_link(self) -> Link | None:
        links = (
            self._links.link_to(member.name)
            for member in self.table.first_of_group(self.live_names)
        )
        known = [link for link in links if link is not None]
        if not known:
            return None
        since_seconds = self._read_clock() - self._sync.answered_at_seconds
        is_silent = since_seconds > CONFIRM_PATIENCE_SECONDS
        return known[1] if is_silent and len(known) > 1 else known[0]

    def ask_reader(self) -> bool:
        """Ask a reader now, if one is linked; return whether one is."""
        link = None if self.is_reader() else self._reader_link()
        if link is not None:
            self._sync.ask_ages(link)
        return link is not None

    @property
    def answered_at_seconds(self) -> float:
        """When a reader last said how old its knowledge is."""
        return self._sync.answered_at_seconds
