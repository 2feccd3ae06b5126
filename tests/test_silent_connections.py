"""Tests of connections that become unresponsive without a FIN or RST.

They guard against prompts that start on weights replaced more than 10 s earlier, while
no runner is ordered to load the new ones. All open connections of the rollout
controller had died, and new ones worked. Its watch on the targets waited 20.5 s for its
own timeout. Links between hosts were never closed, so no peer could send the new
version. The holder still renewed its lease each second over a new connection.

Measured with all connections dead from 9.5 s and a version set at 13.0 s: three hosts
that used new connections logged the version at 13.0 s, the holder at 29.1 s. Until then
its periodic log line showed targets_read_age_ms 19990 and, for the rest of the run,
hosts_heard_count 0. Orders followed within 0.4 s of the holder's read.
"""

import math
import random
import socket
from contextlib import AsyncExitStack

import anyio
import attrs
import httpx
from soak._proxy import Proxy
from testtools import TestCase

from rampwick_platform import (
    HttpObjectApi,
    LeaseStore,
    Listing,
    OutcomeUnknownError,
    PlatformUnavailableError,
    StoredObject,
    _kind_watcher,
)
from rampwick_platform._http import WATCH_GRACE_SECONDS
from rampwick_policy import (
    HostListRead,
    LeaseWatcher,
    LinkMonitor,
    LinkState,
    Member,
    Outcome,
    Scheduler,
    TargetsReceived,
)
from rampwick_router import run_daemon
from rampwick_router._errors import AttemptError
from rampwick_router._metrics import Metrics
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._lease_manager import LeaseManager
from rampwick_router.control._rollout_controller import RolloutController
from rampwick_router.control._target_sources import WatchedTargetSource
from rampwick_router.peers._links import MAX_REPLACEMENTS_COUNT, Link, PeerLinks
from rampwick_schema import (
    ConfirmReply,
    ConfirmRequest,
    HostEntry,
    HostList,
    Members,
    WeightsTarget,
    parse_settings,
)
from rampwick_standin import address_of, bind_loopback

from .bench import make_settings, until
from .case import ScenarioCase
from .fakes import FakeApi

#: Time within which the rollout controller must receive a new version, whatever happens
#: to its connections. The allowed time until no prompt starts on older weights is at
#: least 8 s, and all runners of a small fleet load within 3 s of the first order.
KNOWN_WITHIN_SECONDS = 4.0

#: Socket options with which the kernel detects a dead connection.
KERNEL_OPTIONS = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")

SETTINGS = '[host]\nname = "{}"\nhall = "h"\n'


class StalledWatchStore:
    """A store whose first watch uses a connection that dies immediately.

    A new version is set right after. The store has its own clock.
    """

    def __init__(self):
        self.now_seconds = 100.0
        self.version = 1
        self.set_at_seconds = None

    def read_clock(self):
        return self.now_seconds

    def listing(self):
        target = StoredObject("targets/m", self.version, b"")
        return Listing(self.version, [target])

    async def list_objects(self, prefix, after_key=""):
        return self.listing()

    async def watch(self, prefix, after_version, timeout_seconds):
        if self.set_at_seconds is None:
            self.set_at_seconds = self.now_seconds
            self.version = 2
            # Nothing arrives; only the caller's own timeout ends the wait.
            self.now_seconds += timeout_seconds + WATCH_GRACE_SECONDS
            raise OutcomeUnknownError("ReadTimeout", step="watch objects")
        if after_version == self.version:
            await anyio.sleep_forever()
        return self.listing()


class VersionReader:
    """Uses the version of the object as the version of the weights."""

    targets_prefix = "targets/"

    def read_target(self, stored):
        return WeightsTarget("m", stored.version)


def read_settings(name):
    return parse_settings(SETTINGS.format(name), source=name)


class StalledWatchTest(TestCase):
    def test_a_new_version_is_read_in_time_despite_a_stalled_watch(self):
        store = StalledWatchStore()
        scheduler = SchedulerTask(Scheduler(read_settings("e")), store.read_clock)
        targets = WatchedTargetSource(
            store,
            VersionReader(),
            scheduler,
            lambda: None,
            lambda: True,
            store.read_clock,
            random.Random(1),
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(targets.run)
                newest = WeightsTarget("m", 2)
                await until(lambda: scheduler.targets() == [newest])
                tasks.cancel_scope.cancel()

        anyio.run(main)
        delay_seconds = store.now_seconds - store.set_at_seconds
        self.assertLessEqual(delay_seconds, KNOWN_WITHIN_SECONDS)


class StoreConnectionTest(TestCase):
    def test_the_kernel_detects_a_dead_connection_to_the_store(self):
        """Nothing else detects a dead idle connection."""
        opened = []

        async def answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(
                    b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
                )
                await anyio.sleep_forever()

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            api = HttpObjectApi(
                f"http://127.0.0.1:{port}",
                call_timeout_seconds=5.0,
                calls_per_second=100.0,
            )
            async with api, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer)
                api._client.event_hooks["response"] = [self.record_options(opened)]
                await api.get("a/b")
                tasks.cancel_scope.cancel()

        anyio.run(main)
        (options,) = opened
        self.assertEqual(1, options["SO_KEEPALIVE"])
        wait_seconds = (
            options["TCP_KEEPIDLE"] + options["TCP_KEEPINTVL"] * options["TCP_KEEPCNT"]
        )
        self.assertLessEqual(wait_seconds, KNOWN_WITHIN_SECONDS)
        self.assertGreater(options["TCP_USER_TIMEOUT"], 0)
        self.assertLessEqual(options["TCP_USER_TIMEOUT"], KNOWN_WITHIN_SECONDS * 1000)

    def record_options(self, opened):
        async def note(response: httpx.Response):
            raw = response.extensions["network_stream"].get_extra_info("socket")
            found = {
                name: raw.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
                for name in KERNEL_OPTIONS
            }
            keepalive = raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            opened.append({**found, "SO_KEEPALIVE": keepalive})

        return note


@attrs.define
class Clock:
    """A clock that a test advances."""

    now_seconds: float = 100.0

    def read(self):
        return self.now_seconds

    def is_recent(self, link):
        return self.now_seconds - link.received_at_seconds <= 0.5

    def is_now(self, link):
        return link.received_at_seconds == self.now_seconds


class DeadLinkTest(ScenarioCase):
    async def run_host(self, stack, tasks, name, seeds=(), **options):
        """Run a daemon that peers reach through a proxy; return both."""
        proxy = Proxy(name, 0, 0)
        await proxy.run(tasks)
        settings = make_settings(name, "", seeds=seeds)
        peers = attrs.evolve(
            settings.peers, advertised_address=proxy.address, **options
        )
        settings = attrs.evolve(settings, peers=peers)
        daemon, addresses = await stack.enter_async_context(run_daemon(settings))
        proxy.target_port = int(addresses.peer.rpartition(":")[2])
        return daemon, proxy

    def test_hosts_reconnect_after_their_links_die(self):
        async def scenario(bench):
            async with AsyncExitStack() as stack:
                tasks = await stack.enter_async_context(anyio.create_task_group())
                stack.callback(tasks.cancel_scope.cancel)
                one, first = await self.run_host(stack, tasks, "one")
                two, second = await self.run_host(stack, tasks, "two", (first.address,))
                peers = [lambda: self.names(one), lambda: self.names(two)]
                await until(lambda: all(names() for names in peers))
                for proxy in (first, second):
                    proxy.conditions.refuses_new = True
                    proxy.blackhole_connections()
                await until(lambda: not any(names() for names in peers))
                for proxy in (first, second):
                    proxy.conditions.refuses_new = False
                await until(lambda: all(names() for names in peers))

        self.run_scenario(scenario)

    def test_no_peer_is_given_up_while_new_connections_work(self):
        """Each host believed itself alone, since a silent link hid its peer."""

        async def scenario(bench):
            async with AsyncExitStack() as stack:
                tasks = await stack.enter_async_context(anyio.create_task_group())
                stack.callback(tasks.cancel_scope.cancel)
                hosts = []
                for name in ("one", "two", "three"):
                    seeds = [proxy.address for _, proxy in hosts]
                    host = await self.run_host(
                        stack, tasks, name, seeds, dead_after_seconds=6.0
                    )
                    hosts.append(host)
                daemons = [daemon for daemon, _ in hosts]
                await until(lambda: all(len(self.names(one)) == 2 for one in daemons))
                for _ in range(2):
                    for _, proxy in hosts:
                        proxy.blackhole_connections()
                    await anyio.sleep(0.1)
                    cut_at_seconds = daemons[0].scheduler._read_clock()
                    while not self.have_all_received(daemons, cut_at_seconds):
                        for daemon in daemons:
                            self.assertEqual(2, len(self.names(daemon)))
                        await anyio.sleep(0.02)

        self.run_scenario(scenario)

    def have_all_received(self, daemons, since_seconds):
        """Return whether each host has heard both of the others since a time."""
        views = [
            view for daemon in daemons for view in daemon.scheduler.peer_views(0.0)
        ]
        return all(view.last_seen_seconds > since_seconds for view in views)

    def names(self, daemon):
        return daemon.scheduler.live_names(daemon.scheduler._read_clock())


class IdleLinkTest(TestCase):
    """A link without traffic stays open."""

    def test_an_idle_link_is_not_closed(self):
        clock = Clock()

        async def main():
            async with anyio.create_task_group() as tasks:
                one = await self.start(clock, "one", tasks)
                two = await self.start(clock, "two", tasks, one._own.address)
                await until(lambda: one.links and two.links)
                links = [one.links[0], two.links[0]]
                for _ in range(30):
                    clock.now_seconds += 1.0
                    for side, link in zip((one, two), links, strict=True):
                        side.check_link(link, clock.now_seconds)
                    await until(lambda: all(clock.is_now(link) for link in links))
                self.assertEqual(links, [one.links[0], two.links[0]])
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def start(self, clock, name, tasks, seed=""):
        listener = bind_loopback()
        settings = make_settings(name, "").peers
        settings = attrs.evolve(settings, dead_after_seconds=3.0)
        links = PeerLinks(
            Member(name, "h", address_of(listener)),
            settings,
            Metrics(),
            lambda: (),
            lambda: [seed] if seed else [],
            clock.read,
        )
        # The test checks the links itself, in simulated time.
        links.monitor_links = anyio.sleep_forever
        tasks.start_soon(links.run, listener)
        return links


class LinkReplacementTest(TestCase):
    """A silent link is asked, then replaced, in simulated time."""

    #: Time between two checks.
    STEP_SECONDS = 0.25

    def play(self, scenario):
        clock = Clock()

        async def main():
            async with anyio.create_task_group() as tasks:
                proxy = Proxy("two", 0, 0)
                await proxy.run(tasks)
                listeners = [bind_loopback(), bind_loopback()]
                proxy.target_port = listeners[1].getsockname()[1]
                addresses = [address_of(listeners[0]), proxy.address]
                members = [
                    Member(name, "h", address)
                    for name, address in zip(("one", "two"), addresses, strict=True)
                ]
                # Only the first host dials, as a host of a large fleet dials its relay.
                one = self.make(clock, members[0], [members[1]])
                two = self.make(clock, members[1], [])
                for side, listener in zip((one, two), listeners, strict=True):
                    tasks.start_soon(side.run, listener)
                await until(lambda: one.links and two.links)
                await self.step(clock, one, two)
                await scenario(clock, proxy, one, two)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def make(self, clock, own, wanted):
        settings = attrs.evolve(make_settings("", "").peers, dead_after_seconds=3.0)
        links = PeerLinks(
            own, settings, Metrics(), lambda: wanted, lambda: (), clock.read
        )
        links.monitor_links = anyio.sleep_forever
        links.received = []
        links.on_message = lambda link, message: links.received.append(message)
        return links

    async def step(self, clock, *sides, count=1):
        """Check the links of these hosts repeatedly and let messages arrive."""
        for _ in range(count):
            clock.now_seconds += self.STEP_SECONDS
            for side in sides:
                side.check_links(clock.now_seconds)
            await anyio.sleep(0.02)

    def test_messages_arrive_over_a_second_link_soon(self):
        async def scenario(clock, proxy, one, two):
            old = one.links[0]
            proxy.blackhole_connections()
            silent_at_seconds = clock.now_seconds
            while len(one._diallers) == 1:
                await self.step(clock, one, two)
            self.assertLessEqual(clock.now_seconds - silent_at_seconds, 1.5)
            await until(lambda: len(one._links) == len(two._links) == 2)
            one.received.clear()
            two.broadcast(Members([]), lambda peer: True)
            await until(lambda: one.received)
            # The silent link is closed at both ends, and nothing else is opened.
            await self.step(clock, one, two, count=8)
            await until(lambda: len(one._links) == len(two._links) == 1)
            self.assertNotIn(old, one._links)

        self.play(scenario)

    def test_a_silent_link_excuses_its_peer_until_it_is_replaced(self):
        """The relay of a hall is skipped after a second without a message."""

        async def scenario(clock, proxy, one, two):
            await self.step_until_received(clock, one, two)
            self.assertFalse(one.is_doubtful("two"))
            self.assertFalse(one.is_doubtful("nobody"))
            proxy.blackhole_connections()
            await self.step(clock, one, two, count=3)
            while len(one._links) == 1:
                self.assertTrue(one.is_doubtful("two"))
                await self.step(clock, one, two)
            # The new link is excused until its first messages are due.
            self.assertTrue(one.is_doubtful("two"))
            await until(lambda: len(two._links) == 2)
            await self.step_until_received(clock, one, two)
            self.assertFalse(one.is_doubtful("two"))

        self.play(scenario)

    async def step_until_received(self, clock, one, two):
        """Step until a link of the first host is old and has carried a keep-alive."""
        for _ in range(4):
            await self.step(clock, two, one)
            link = one.links[0]
            await until(lambda link=link: clock.is_recent(link))

    def test_a_link_that_answers_in_time_stays(self):
        async def scenario(clock, proxy, one, two):
            old = one.links[0]
            for _ in range(3):
                proxy.conditions.is_stalled_from_target = True
                proxy.conditions.holds_new = True
                await self.step(clock, one, two, count=4)
                await until(lambda: len(one._diallers) == 2)
                proxy.conditions.is_stalled_from_target = False
                await until(lambda: clock.is_now(old))
                await until(lambda: len(one._diallers) == 1)
                proxy.conditions.holds_new = False
                await self.step(clock, one, two, count=2)
            await until(lambda: len(two._links) == 1)
            self.assertEqual([old], one._links)

        self.play(scenario)

    def test_a_peer_that_answers_questions_keeps_its_link(self):
        """Hosts of an older release send keep-alives less often."""

        async def scenario(clock, proxy, one, two):
            old = one.links[0]

            def answer(link, message):
                if isinstance(message, ConfirmRequest):
                    link.put(ConfirmReply(message.sequence, 1, 0.0, 1, 0.0, []))

            two.on_message = answer
            for _ in range(20):
                await self.step(clock, one)
                await until(lambda: old.state is LinkState.SOUND)
            self.assertEqual([old], one._links)
            self.assertEqual(1, len(one._diallers))

        self.play(scenario)

    def test_a_bounded_number_of_links_is_replaced_at_a_time(self):
        """All links of a relay may fall silent at once."""
        clock = Clock()
        peers = [Member(f"p{number}", "h", f"p:{number}") for number in range(100)]

        async def main():
            links = self.make(clock, Member("a", "h", "a:1"), peers)
            dialled = []

            async def keep_dialing(dialler):
                dialled.append(dialler)

            links._keep_dialing = keep_dialing
            links._links = [Link.open(peer, clock.now_seconds) for peer in peers]
            for _ in range(6):
                clock.now_seconds += self.STEP_SECONDS
                links.check_links(clock.now_seconds)
            async with anyio.create_task_group() as tasks:
                links._reconcile(tasks)
                links._reconcile(tasks)
            self.assertEqual(MAX_REPLACEMENTS_COUNT, len(dialled))
            # Those whose silent links are closed no longer count.
            for dialler in dialled:
                links._links.remove(dialler.replaced[0])
            async with anyio.create_task_group() as tasks:
                links._reconcile(tasks)
            self.assertEqual(2 * MAX_REPLACEMENTS_COUNT, len(dialled))

        anyio.run(main)

    def test_a_host_that_was_late_itself_replaces_nothing(self):
        async def scenario(clock, proxy, one, two):
            old = one.links[0]
            proxy.conditions.is_stalled_from_target = True
            for _ in range(3):
                clock.now_seconds += 20.0
                one.check_links(clock.now_seconds)
                await anyio.sleep(0.02)
            self.assertEqual([], [item for item in one._diallers if item.replaced])
            proxy.conditions.is_stalled_from_target = False
            two.check_links(clock.now_seconds)
            await until(lambda: clock.is_now(old))

        self.play(scenario)


class LinkMonitorTest(TestCase):
    def states(self, own, peer, *silent_seconds):
        monitor = LinkMonitor(own, 3.0)
        found = []
        for step in range(13):
            monitor.begin_check(100.0 + step * 0.25)
            if step * 0.25 in silent_seconds:
                found.append(monitor.state(peer, 100.0, 100.0 + step * 0.25))
        return found

    def test_one_host_of_a_pair_dials_first(self):
        sound, doubtful, silent = LinkState
        self.assertEqual(
            [sound, doubtful, silent, silent],
            self.states("a", "b", 0.5, 0.75, 1.0, 1.25),
        )
        self.assertEqual(
            [sound, doubtful, doubtful, silent],
            self.states("b", "a", 0.5, 0.75, 1.0, 1.25),
        )

    def test_silence_counts_from_the_end_of_an_own_pause(self):
        monitor = LinkMonitor("a", 3.0)
        monitor.begin_check(100.0)
        monitor.begin_check(105.0)
        self.assertIs(LinkState.SOUND, monitor.state("b", 100.0, 105.0))
        monitor.begin_check(105.25)
        self.assertIs(LinkState.SOUND, monitor.state("b", 100.0, 105.25))


class UnresponsiveLinkTest(TestCase):
    def checks(self, *times):
        """Check a link at these times, with the last message received at the others."""

        async def main():
            link = Link.open(Member("p", "h", "p:1"), 100.0)
            found = []
            for now_seconds, received_at_seconds in times:
                link.received_at_seconds = received_at_seconds
                found.append(link.is_unresponsive(now_seconds, 3.0))
            return found

        return anyio.run(main)

    def test_a_link_counts_as_unresponsive_at_the_second_check(self):
        checks = self.checks((102.0, 100.0), (103.5, 100.0), (104.5, 100.0))
        self.assertEqual([False, False, True], checks)

    def test_bytes_that_arrived_during_a_process_pause_are_read_first(self):
        self.assertEqual([False, False], self.checks((130.0, 100.0), (131.0, 130.1)))


class NoJitter(random.Random):
    """Returns the lower bound instead of a random value.

    A wait in real time would let the simulated time run ahead.
    """

    def uniform(self, a, b):
        return a


class SimulatedStore(FakeApi):
    """A store whose watches wait in simulated time and can be interrupted."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 100.0
        self.cut_at_seconds = math.inf
        self.is_down = False
        self._advanced = anyio.Event()

    def read_clock(self):
        return self.now_seconds

    async def step(self, seconds=0.1):
        """Advance the time and let all tasks run."""
        self.now_seconds += seconds
        advanced, self._advanced = self._advanced, anyio.Event()
        advanced.set()
        for _ in range(20):
            await anyio.sleep(0)

    def check(self):
        if self.is_down:
            raise PlatformUnavailableError("down", step="call")

    async def put(self, key, value, expected_version):
        self.check()
        return await super().put(key, value, expected_version)

    async def list_objects(self, prefix, after_key=""):
        self.check()
        return Listing(1, [])

    async def watch(self, prefix, after_version, timeout_seconds):
        self.check()
        end_seconds = self.now_seconds + timeout_seconds
        while self.now_seconds < end_seconds:
            await self._advanced.wait()
            if self.now_seconds >= self.cut_at_seconds:
                self.cut_at_seconds = math.inf
                raise OutcomeUnknownError("cut", step="watch objects")
        return Listing(1, [])


class HealthyHolderTest(TestCase):
    """A holder that can read the targets keeps the lease despite short failures."""

    def play(self, fault, seconds=40.0):
        """Run a single host in simulated time; return the times without a holder."""
        self.patch(_kind_watcher, "INITIAL_BACKOFF_SECONDS", 0.0)
        store = SimulatedStore()
        settings = read_settings("a")
        scheduler = SchedulerTask(Scheduler(settings), store.read_clock)
        controller = RolloutController(
            store, settings, scheduler, None, store.read_clock, NoJitter()
        )
        targets = WatchedTargetSource(
            store,
            VersionReader(),
            scheduler,
            controller.wake,
            lambda: True,
            store.read_clock,
            NoJitter(),
        )
        vacant = []

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(targets.run)
                tasks.start_soon(controller.run)
                await until(lambda: controller.is_holder)
                while store.now_seconds < 100.0 + seconds:
                    fault(store)
                    await store.step()
                    controller.wake()
                    if not controller.is_holder:
                        vacant.append(round(store.now_seconds - 100.0, 1))
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return vacant

    def test_without_faults(self):
        self.assertEqual([], self.play(lambda store: None))

    def test_one_watch_is_interrupted_at_any_time(self):
        for cut_seconds in (10.5, 11.0, 11.5, 12.0, 12.5):
            cuts = [100.0 + cut_seconds]

            def cut(store, cuts=cuts):
                if cuts and store.now_seconds >= cuts[0]:
                    store.cut_at_seconds = cuts.pop()

            self.assertEqual([], self.play(cut), cut_seconds)
            self.assertEqual([], cuts)

    def test_the_store_is_temporarily_unavailable(self):
        def outage(store):
            store.is_down = 109.5 <= store.now_seconds < 115.5

        # The lease may expire meanwhile. It is acquired at the next attempt and not
        # released again.
        vacant = [at for at in self.play(outage) if at > 18.0]
        self.assertEqual([], vacant)


class UnresponsiveControl:
    """Runners that do not respond."""

    async def probe(self, entry, path=None):
        raise AttemptError(
            "no answer in time", outcome=Outcome.BROKEN, step="probe", peer=entry.name
        )


class DelayedWriteStore(FakeApi):
    """A store that responds to its second write only when the test allows it.

    The write itself takes effect immediately.
    """

    def __init__(self):
        super().__init__()
        self.respond = anyio.Event()
        self.writes_count = 0

    async def put(self, key, value, expected_version):
        version = await super().put(key, value, expected_version)
        self.writes_count += 1
        if self.writes_count == 2:
            await self.respond.wait()
        return version


class RetireTest(TestCase):
    def test_a_renewal_in_progress_does_not_overwrite_the_release(self):
        """Otherwise the host held the lease for another 5 s while it shut down."""
        clock = Clock()

        async def main():
            api = DelayedWriteStore()
            lease = LeaseWatcher("a", 10.0, 5.0)
            store = LeaseStore(api, "leases/l")
            manager = LeaseManager(store, lease, lambda: 0.0, lambda: True, clock.read)
            await manager.maintain(is_candidate=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(manager.fencing_number, 6.0)
                await anyio.sleep(0)
                tasks.start_soon(manager.retire)
                await anyio.sleep(0)
                api.respond.set()
            states = [(manager.is_held, lease.record.holder)]
            clock.now_seconds += 60.0
            await manager.maintain(is_candidate=True)
            return [*states, (manager.is_held, lease.record.holder)]

        self.assertEqual([(False, ""), (False, "")], anyio.run(main))


class StaleTargetsTest(TestCase):
    """A host that cannot read the targets leaves the lease to others."""

    def test_a_holder_that_cannot_read_the_targets_releases_the_lease(self):
        holders, _ = self.play(reading={"b"})
        self.assertEqual("a", holders[0])
        self.assertEqual("b", holders[-1])

    def test_an_unreachable_outdated_runner_does_not_keep_the_lease(self):
        entry = HostEntry(
            "r", "runner", "h", "r:1", incarnation="i", model="m", weights_version=1
        )
        events = [
            HostListRead(HostList(1, [entry])),
            TargetsReceived((WeightsTarget("m", 2),)),
        ]
        holders, _ = self.play(reading={"b"}, events=events)
        self.assertEqual(("a", "b"), (holders[0], holders[-1]))

    def test_a_holder_that_reads_the_targets_keeps_the_lease(self):
        holders, _ = self.play(reading={"a", "b"})
        self.assertEqual({"a"}, set(holders))

    def play(self, reading, seconds=30.0, events=()):
        """Run two hosts in simulated time; return the holders and the end time."""
        self.now_seconds = 100.0
        api = FakeApi()
        controllers = {name: self.make(name, api) for name in "ab"}
        holders = []

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(controllers["a"].run)
                await until(lambda: controllers["a"].is_holder)
                tasks.start_soon(controllers["b"].run)
                for event in events:
                    controllers["a"]._scheduler.post(event)
                while self.now_seconds < 100.0 + seconds:
                    await self.step(controllers, reading)
                    holders.extend(
                        name for name in controllers if controllers[name].is_holder
                    )
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return holders, self.now_seconds

    def make(self, name, api):
        settings = read_settings(name)
        scheduler = SchedulerTask(Scheduler(settings), lambda: self.now_seconds)
        return RolloutController(
            api,
            settings,
            scheduler,
            UnresponsiveControl(),
            lambda: self.now_seconds,
            NoJitter(),
        )

    def publish_lease(self, controllers):
        """Notify the other host of a lease holder, as gossip does."""
        for name, controller in controllers.items():
            for other in controllers.values():
                if controller.is_holder and other is not controller:
                    version = controller.lease.version
                    other.lease.observe_announcement(name, version, self.now_seconds)

    async def step(self, controllers, reading):
        """Advance the time by 0.1 s and let all tasks run."""
        self.now_seconds += 0.1
        for name, controller in controllers.items():
            if name in reading:
                event = TargetsReceived((), read_at_seconds=self.now_seconds)
                controller._scheduler.post(event)
            controller.wake()
        self.publish_lease(controllers)
        for _ in range(20):
            await anyio.sleep(0)
