"""Connections that fall silent for good, without an end and without a reset.

Symptom: prompts began on weights that had been replaced more than ten seconds before,
and no runner was told to load the new ones.

Sequence: the host that gives the orders asks the store to tell it of newer targets, and
the connection of that question dies. New connections work. A version is named. The host
renews its lease over a new connection, each second, and waits on the dead one.

Cause: an open connection was trusted for as long as TCP reported nothing. The question
waited for 20.5 s before its own time-out; links between hosts were never given up, so
that nobody who knew the version could tell the holder; and a holder that knows nothing
of what is wanted kept its lease.

What settled it: with all connections silenced at 9.5 s and a version named at 13.0 s,
three hosts that asked afresh wrote "beliefs: target is version" at 13.0 s, the holder
at 29.1 s; until then its ten-second line had targets_read_age_ms 19990 and, for the
rest of the run, hosts_heard_count 0. Orders followed within 0.4 s of the holder's line.
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
    AnswerLostError,
    HttpObjectApi,
    LeaseStore,
    Listing,
    PlatformUnavailableError,
    StoredObject,
    _kind_watcher,
)
from rampwick_platform._http import WATCH_GRACE_SECONDS
from rampwick_policy import (
    HostListRead,
    LeaseWatcher,
    Member,
    Outcome,
    Scheduler,
    TargetsRead,
)
from rampwick_router import run_daemon
from rampwick_router._errors import AttemptError
from rampwick_router._metrics import Metrics
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._lease_keeper import LeaseKeeper
from rampwick_router.control._steward import StewardTask
from rampwick_router.control._target_sources import WatchedTargets
from rampwick_router.peers._links import Link, PeerLinks
from rampwick_schema import HostEntry, HostList, WeightsTarget, parse_settings
from rampwick_standin import address_of, bind_loopback

from .bench import make_settings, until
from .case import ScenarioCase
from .fakes import FakeApi

#: Time within which the host that gives the orders is to know of a version whatever
#: becomes of its connections. Users allow 8 s at the least until nothing begins on
#: older weights; all runners of a small fleet load within 3 s of the first order.
KNOWN_WITHIN_SECONDS = 4.0

#: Options by which the kernel notices a silent connection.
KERNEL_OPTIONS = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")

SETTINGS = '[host]\nname = "{}"\nhall = "h"\n'


class DeafStore:
    """A store whose first watch is asked over a connection that dies at once.

    A version is named right after. The store counts its own time.
    """

    def __init__(self):
        self.now_seconds = 100.0
        self.version = 1
        self.named_at_seconds = None

    def read_clock(self):
        return self.now_seconds

    def listing(self):
        target = StoredObject("targets/m", self.version, b"")
        return Listing(self.version, [target])

    async def list_objects(self, prefix, after_key=""):
        return self.listing()

    async def watch(self, prefix, after_version, timeout_seconds):
        if self.named_at_seconds is None:
            self.named_at_seconds = self.now_seconds
            self.version = 2
            # Nothing comes; only the caller's own time-out ends the wait.
            self.now_seconds += timeout_seconds + WATCH_GRACE_SECONDS
            raise AnswerLostError("ReadTimeout", step="watch objects")
        if after_version == self.version:
            await anyio.sleep_forever()
        return self.listing()


class ReadsVersions:
    """Takes the version of the object for the version of the weights."""

    targets_prefix = "targets/"

    def read_target(self, stored):
        return WeightsTarget("m", stored.version)


def read_settings(name):
    return parse_settings(SETTINGS.format(name), source=name)


class DeafWatchTest(TestCase):
    def test_a_version_is_known_in_time_though_the_watch_hears_nothing(self):
        store = DeafStore()
        scheduler = SchedulerTask(Scheduler(read_settings("e")), store.read_clock)
        targets = WatchedTargets(
            store,
            ReadsVersions(),
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
        known_after_seconds = store.now_seconds - store.named_at_seconds
        self.assertLessEqual(known_after_seconds, KNOWN_WITHIN_SECONDS)


class StoreConnectionTest(TestCase):
    def test_a_silent_connection_to_the_store_is_noticed_by_the_kernel(self):
        """A resting connection costs nothing, so nobody else would notice."""
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
                api._client.event_hooks["response"] = [self.look(opened)]
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

    def look(self, opened):
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
    """Time that a test steps."""

    now_seconds: float = 100.0

    def read(self):
        return self.now_seconds

    def is_now(self, link):
        return link.heard_at_seconds == self.now_seconds


class SilentLinkTest(ScenarioCase):
    async def run_host(self, stack, tasks, name, seeds=()):
        """Run a daemon that peers reach through a forwarder; return both."""
        proxy = Proxy(name, 0, 0)
        await proxy.run(tasks)
        settings = make_settings(name, "", seeds=seeds)
        peers = attrs.evolve(settings.peers, advertised_address=proxy.address)
        settings = attrs.evolve(settings, peers=peers)
        daemon, addresses = await stack.enter_async_context(run_daemon(settings))
        proxy.target_port = int(addresses.peer.rpartition(":")[2])
        return daemon, proxy

    def test_hosts_whose_links_fall_silent_hear_each_other_again(self):
        async def scenario(bench):
            async with AsyncExitStack() as stack:
                tasks = await stack.enter_async_context(anyio.create_task_group())
                stack.callback(tasks.cancel_scope.cancel)
                one, first = await self.run_host(stack, tasks, "one")
                two, second = await self.run_host(stack, tasks, "two", (first.address,))
                hears = [lambda: self.names(one), lambda: self.names(two)]
                await until(lambda: all(hear() for hear in hears))
                for proxy in (first, second):
                    proxy.strand()
                await until(lambda: not any(hear() for hear in hears))
                await until(lambda: all(hear() for hear in hears))

        self.run_scenario(scenario)

    def names(self, daemon):
        return daemon.scheduler.live_names(daemon.scheduler._read_clock())


class QuietLinkTest(TestCase):
    """A link over which nobody has anything to say lives on."""

    def test_a_quiet_link_is_not_given_up(self):
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
                        side.keep_link(link, clock.now_seconds)
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
        # The test looks at the links itself, in stepped time.
        links.keep_links = anyio.sleep_forever
        tasks.start_soon(links.run, listener)
        return links


class LinkSilenceTest(TestCase):
    def looks(self, *times):
        """Look at a link's silence at these times; the last word came at the others."""

        async def main():
            link = Link.open(Member("p", "h", "p:1"), 100.0)
            found = []
            for now_seconds, heard_at_seconds in times:
                link.heard_at_seconds = heard_at_seconds
                found.append(link.is_silent(now_seconds, 3.0))
            return found

        return anyio.run(main)

    def test_a_link_counts_as_silent_at_the_second_look(self):
        looks = self.looks((102.0, 100.0), (103.5, 100.0), (104.5, 100.0))
        self.assertEqual([False, False, True], looks)

    def test_what_arrived_while_this_process_stood_still_is_read_first(self):
        self.assertEqual([False, False], self.looks((130.0, 100.0), (131.0, 130.1)))


class NoJitter(random.Random):
    """Draws no wait: a wait of real time would let the stepped time run ahead."""

    def uniform(self, a, b):
        return a


class SteppedStore(FakeApi):
    """A store whose watches wait in stepped time, and can be cut."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 100.0
        self.cut_at_seconds = math.inf
        self.is_down = False
        self._stepped = anyio.Event()

    def read_clock(self):
        return self.now_seconds

    async def step(self, seconds=0.1):
        """Let time pass, and everybody look at it."""
        self.now_seconds += seconds
        stepped, self._stepped = self._stepped, anyio.Event()
        stepped.set()
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
            await self._stepped.wait()
            if self.now_seconds >= self.cut_at_seconds:
                self.cut_at_seconds = math.inf
                raise AnswerLostError("cut", step="watch objects")
        return Listing(1, [])


class SoundHolderTest(TestCase):
    """A holder that reads the targets as it should keeps the lease through troubles."""

    def play(self, trouble, seconds=40.0):
        """Step a lone host through time; return the times at which it held nothing."""
        self.patch(_kind_watcher, "FIRST_PAUSE_SECONDS", 0.0)
        store = SteppedStore()
        settings = read_settings("a")
        scheduler = SchedulerTask(Scheduler(settings), store.read_clock)
        steward = StewardTask(
            store, settings, scheduler, None, store.read_clock, NoJitter()
        )
        targets = WatchedTargets(
            store,
            ReadsVersions(),
            scheduler,
            steward.wake,
            lambda: True,
            store.read_clock,
            NoJitter(),
        )
        vacant = []

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(targets.run)
                tasks.start_soon(steward.run)
                await until(lambda: steward.is_holder)
                while store.now_seconds < 100.0 + seconds:
                    trouble(store)
                    await store.step()
                    steward.wake()
                    if not steward.is_holder:
                        vacant.append(round(store.now_seconds - 100.0, 1))
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return vacant

    def test_in_calm(self):
        self.assertEqual([], self.play(lambda store: None))

    def test_one_watch_is_cut_whenever(self):
        for cut_seconds in (10.5, 11.0, 11.5, 12.0, 12.5):
            cuts = [100.0 + cut_seconds]

            def cut(store, cuts=cuts):
                if cuts and store.now_seconds >= cuts[0]:
                    store.cut_at_seconds = cuts.pop()

            self.assertEqual([], self.play(cut), cut_seconds)
            self.assertEqual([], cuts)

    def test_the_store_is_away_for_a_while(self):
        def away(store):
            store.is_down = 109.5 <= store.now_seconds < 115.5

        # The lease may run out meanwhile; it is taken at the next try and not let go.
        vacant = [at for at in self.play(away) if at > 18.0]
        self.assertEqual([], vacant)


class DarkControl:
    """Runners that answer nothing."""

    async def probe(self, entry):
        raise AttemptError(
            "no answer in time", outcome=Outcome.BROKEN, step="probe", peer=entry.name
        )


class SlowAnswers(FakeApi):
    """A store whose second write takes effect and is answered when the test says so."""

    def __init__(self):
        super().__init__()
        self.answer = anyio.Event()
        self.writes_count = 0

    async def put(self, key, value, expected_version):
        version = await super().put(key, value, expected_version)
        self.writes_count += 1
        if self.writes_count == 2:
            await self.answer.wait()
        return version


class RetiringTest(TestCase):
    def test_a_renewal_under_way_does_not_win_over_the_release(self):
        """The host held the lease again for 5 s, as it left."""
        clock = Clock()

        async def main():
            api = SlowAnswers()
            lease = LeaseWatcher("a", 10.0, 5.0)
            store = LeaseStore(api, "leases/l")
            keeper = LeaseKeeper(store, lease, lambda: 0.0, clock.read)
            await keeper.keep(is_candidate=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.fencing_number, 6.0)
                await anyio.sleep(0)
                tasks.start_soon(keeper.retire)
                await anyio.sleep(0)
                api.answer.set()
            states = [(keeper.is_held, lease.record.holder)]
            clock.now_seconds += 60.0
            await keeper.keep(is_candidate=True)
            return [*states, (keeper.is_held, lease.record.holder)]

        self.assertEqual([(False, ""), (False, "")], anyio.run(main))


class UninformedHolderTest(TestCase):
    """Whoever can't learn what is wanted leaves the lease to others."""

    def test_a_holder_that_can_not_read_the_targets_lets_the_lease_go(self):
        holders, _ = self.play(reading={"b"})
        self.assertEqual("a", holders[0])
        self.assertEqual("b", holders[-1])

    def test_a_lost_runner_with_old_weights_is_no_reason_to_keep_it(self):
        entry = HostEntry(
            "r", "runner", "h", "r:1", incarnation="i", model="m", weights_version=1
        )
        events = [
            HostListRead(HostList(1, [entry])),
            TargetsRead((WeightsTarget("m", 2),)),
        ]
        holders, _ = self.play(reading={"b"}, events=events)
        self.assertEqual(("a", "b"), (holders[0], holders[-1]))

    def test_a_holder_that_reads_them_keeps_it(self):
        holders, _ = self.play(reading={"a", "b"})
        self.assertEqual({"a"}, set(holders))

    def play(self, reading, seconds=30.0, events=()):
        """Step two hosts through time; return the holders, and when each held."""
        self.now_seconds = 100.0
        api = FakeApi()
        stewards = {name: self.make(name, api) for name in "ab"}
        holders = []

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stewards["a"].run)
                await until(lambda: stewards["a"].is_holder)
                tasks.start_soon(stewards["b"].run)
                for event in events:
                    stewards["a"]._scheduler.post(event)
                while self.now_seconds < 100.0 + seconds:
                    await self.step(stewards, reading)
                    holders.extend(
                        name for name in stewards if stewards[name].is_holder
                    )
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return holders, self.now_seconds

    def make(self, name, api):
        settings = read_settings(name)
        scheduler = SchedulerTask(Scheduler(settings), lambda: self.now_seconds)
        return StewardTask(
            api,
            settings,
            scheduler,
            DarkControl(),
            lambda: self.now_seconds,
            NoJitter(),
        )

    def tell_of_the_lease(self, stewards):
        """Have a holder be heard by the other host, as peers hear it."""
        for name, steward in stewards.items():
            for other in stewards.values():
                if steward.is_holder and other is not steward:
                    version = steward.lease.version
                    other.lease.observe_announcement(name, version, self.now_seconds)

    async def step(self, stewards, reading):
        """Let a tenth of a second pass, and everybody look at it."""
        self.now_seconds += 0.1
        for name, steward in stewards.items():
            if name in reading:
                event = TargetsRead((), read_at_seconds=self.now_seconds)
                steward._scheduler.post(event)
            steward.wake()
        self.tell_of_the_lease(stewards)
        for _ in range(20):
            await anyio.sleep(0)
