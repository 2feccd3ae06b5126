"""Connections to upstreams through other hosts."""

import itertools
import math
from collections import Counter
from contextlib import contextmanager
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_policy import (
    AttemptFailed,
    AttemptStalled,
    HealthState,
    LoadReported,
    Member,
    Outcome,
    ProbeFailed,
    Tick,
    TunnelPeers,
    UpstreamPath,
)
from rampwick_policy._tunnel_peers import MAX_TRIED_COUNT
from rampwick_policy._upstream_paths import (
    CHECK_INTERVAL_SECONDS,
    CHECKED_COUNT,
    UpstreamPaths,
)
from rampwick_router.peers import _tunnel_server, _tunnels
from rampwick_router.peers._tunnels import TunnelLostError, TunnelRefusedError
from rampwick_schema import LoadReport, TunnelData, TunnelEnd

from .bench import until
from .partitions import HANG, LOSE_NEW, RESET
from .scripted import ScriptedUpstream, open_reset_connection
from .test_hosts_cut_off import TERMS, run_hosts
from .test_scheduler import Session

DIRECT, TUNNEL = UpstreamPath.DIRECT, UpstreamPath.TUNNEL
TIMEOUT_SECONDS = 60.0


def run(main):
    async def limited():
        with anyio.fail_after(TIMEOUT_SECONDS):
            return await main()

    return anyio.run(limited)


def never_checked(has_sent=False):
    """Allow a write."""


def tunnels_of(host):
    return host.daemon._gossip.tunnels


def served_by(host):
    return host.daemon._gossip.tunnel_server


def is_tunnelled(host, *names):
    paths = host.daemon.scheduler._scheduler.pool.paths
    return all(paths.path(name) is TUNNEL for name in names)


@contextmanager
def without_timeouts(host):
    """Have a host avoid peers forever, and only for what they answer."""
    limits = dict.fromkeys(
        ("PEER_TIMEOUT_SECONDS", "REPLY_TIMEOUT_SECONDS", "OPEN_TIMEOUT_SECONDS"),
        TIMEOUT_SECONDS,
    )
    client = tunnels_of(host)
    at_seconds = client._read_clock()
    with (
        mock.patch.multiple(_tunnels, **limits),
        mock.patch.object(client, "_read_clock", lambda: at_seconds),
    ):
        yield


@contextmanager
def recorded(peers):
    """Yield the list of the peers that a host asks, and of their refusals."""
    steps = []
    choose, note_refused = TunnelPeers.choose, TunnelPeers.note_refused

    def choose_recorded(self, *arguments):
        peer = choose(self, *arguments)
        if self is peers and peer is not None:
            steps.append(f"{peer.name} is asked")
        return peer

    def note_recorded(self, peer, *arguments):
        if self is peers:
            steps.append(f"{peer.name} refuses")
        note_refused(self, peer, *arguments)

    with (
        mock.patch.object(TunnelPeers, "choose", choose_recorded),
        mock.patch.object(TunnelPeers, "note_refused", note_recorded),
    ):
        yield steps


async def cut_off(host, bench, partition, kind=HANG):
    """Cut entry-1 off and wait until it reaches all upstreams through peers."""
    partition.cut("entry-1", kind)
    number = 0
    while not is_tunnelled(host, *bench.runners):
        await host.complete(f"to be cut off {number}", headers=TERMS)
        number += 1


def ranked(peers, fleet, upstream, hall, at):
    """Return the peers in the order in which they are tried."""
    tried = {}
    while peer := peers.choose(fleet, upstream, hall, tried, at):
        tried[peer.name] = peer
    return list(tried.values())


class PathsTest(TestCase):
    def paths(self, *names):
        paths = UpstreamPaths()
        for name in names:
            paths.note_answer(name, TUNNEL, 1.0)
        return paths

    def test_own_links_are_checked_in_turn(self):
        paths = self.paths("a", "b", "c", "d")
        first = paths.due_checks(1.0 + CHECK_INTERVAL_SECONDS)
        self.assertEqual([], paths.due_checks(1.1 + CHECK_INTERVAL_SECONDS))
        second = paths.due_checks(1.0 + 2 * CHECK_INTERVAL_SECONDS)
        self.assertEqual(CHECKED_COUNT, len(first))
        self.assertEqual({"a", "b", "c", "d"}, {*first, *second})

    def test_all_own_links_are_checked_once_one_has_returned(self):
        paths = self.paths("a", "b", "c", "d")
        self.assertTrue(paths.note_answer("a", DIRECT, 3.0))
        self.assertEqual(0.0, paths.check_delay(3.0))
        self.assertEqual({"b", "c", "d"}, set(paths.due_checks(3.0)))
        self.assertIs(DIRECT, paths.path("a"))

    def test_nothing_is_checked_without_tunnels(self):
        paths = self.paths("a")
        paths.forget("a")
        self.assertEqual(math.inf, paths.check_delay(9.0))
        self.assertEqual([], paths.due_checks(9.0))


class PeerChoiceTest(TestCase):
    def member(self, number, hall):
        return Member(f"{hall}-{number}", hall, f"10.0.0.{number}:1")

    def test_tunnels_of_many_cut_off_hosts_spread_over_their_peers(self):
        fleet = [self.member(n, hall) for hall in "abc" for n in range(10)]
        cut = [member for member in fleet if member.hall == "a"][:8]
        sound = [member for member in fleet if member not in cut]
        chosen = Counter()
        for own in cut:
            peers = TunnelPeers(own)
            for number in range(20):
                upstream = f"u{number}"
                for peer in fleet:
                    if peer in cut:
                        peers.note_refused(peer, upstream, "tunnelled", 1.0)
                best = peers.choose(fleet, upstream, "b", (), 1.0)
                peers.note_begun(best.name)
                chosen[best.name] += 1
        self.assertEqual(set(), set(chosen) - {member.name for member in sound})
        self.assertLessEqual(max(chosen.values()), 2 * 160 / len(sound))

    def test_peers_near_this_host_or_the_upstream_come_first(self):
        fleet = [self.member(n, hall) for hall in "abc" for n in range(3)]
        tried = ranked(TunnelPeers(fleet[0]), fleet, "u", "b", 1.0)
        self.assertEqual(MAX_TRIED_COUNT, len(tried))
        self.assertEqual(set(), {member.hall for member in tried} - {"a", "b"})

    def test_hall_of_a_cut_off_peer_is_tried_last(self):
        fleet = [self.member(n, hall) for hall in "ab" for n in range(9)]
        peers = TunnelPeers(fleet[0])
        peers.note_refused(fleet[1], "u", "tunnelled", 1.0)
        tried = ranked(peers, fleet, "u", "a", 1.1)
        self.assertEqual({"b"}, {member.hall for member in tried})

    def test_peer_that_reaches_one_upstream_less_serves_for_others(self):
        peers = TunnelPeers(self.member(0, "a"))
        fleet = [self.member(1, "a"), self.member(2, "a")]
        first, second = ranked(peers, fleet, "u", "a", 1.0)
        peers.note_refused(first, "u", "unreachable", 1.0)
        self.assertEqual([second, first], ranked(peers, fleet, "u", "a", 1.1))
        self.assertEqual([first, second], ranked(peers, fleet, "v", "a", 1.1))
        self.assertEqual([first, second], ranked(peers, fleet, "u", "a", 9.0))

    def test_peer_that_is_stopping_goes_behind_one_that_did_not_reach_an_upstream(self):
        for first, second in itertools.permutations(range(1, 3)):
            peers = TunnelPeers(self.member(0, "a"))
            fleet = [self.member(first, "a"), self.member(second, "a")]
            peers.note_refused(fleet[0], "u", "unreachable", 1.0)
            peers.note_begun(fleet[0].name)
            peers.note_refused(fleet[1], "u", "leaving", 1.0)
            self.assertEqual(fleet, ranked(peers, fleet, "u", "a", 1.1))

    def test_peer_that_reaches_an_upstream_again_is_not_avoided(self):
        peers = TunnelPeers(self.member(0, "a"))
        fleet = [self.member(1, "a"), self.member(2, "a")]
        first, second = ranked(peers, fleet, "u", "a", 1.0)
        peers.note_refused(first, "u", "unreachable", 1.0)
        peers.note_opened(first.name, "u")
        self.assertEqual([first, second], ranked(peers, fleet, "u", "a", 1.1))

    def test_tunnels_that_are_opened_together_spread_over_peers(self):
        peers = TunnelPeers(self.member(0, "a"))
        fleet = [self.member(1, "a"), self.member(2, "a")]
        chosen = []
        for _ in range(2):
            chosen.append(peers.choose(fleet, "u", "a", (), 1.0))
            peers.note_begun(chosen[-1].name)
        self.assertCountEqual(fleet, chosen)


class PathOfFailureTest(TestCase):
    def test_attempt_over_the_former_path_does_not_mark_the_upstream_down(self):
        session = Session(runners=1, slots=8)
        session.arrive(1.0, "r1")
        session.do(1.5, LoadReported("lektor-1", self.report(), TUNNEL))
        failed = AttemptFailed("r1", "r1.1", Outcome.BROKEN, "stalled")
        session.do(2.0, failed)
        upstream = session.scheduler.upstreams.get("lektor-1")
        self.assertIs(HealthState.UP, upstream.health.state)

    def test_stalled_attempt_is_repeated_as_soon_as_another_path_is_found(self):
        session = Session(runners=1, slots=8)
        session.arrive(1.0, "r1")
        session.do(1.5, AttemptStalled("r1", "r1.1"))
        session.do(1.6, LoadReported("lektor-1", self.report(), TUNNEL))
        session.do(1.7, Tick())
        self.assertEqual("r1.2", session.scheduler.lifecycle("r1").attempt_id)

    def test_backoff_of_one_path_does_not_hold_on_another(self):
        session = Session(runners=1, slots=8)
        health = session.scheduler.upstreams.get("lektor-1").health
        at_seconds = 1.0
        for _ in range(4):
            session.do(at_seconds, ProbeFailed("lektor-1", "silent"))
            at_seconds += health.backoff_seconds + 0.1
            session.do(at_seconds, LoadReported("lektor-1", self.report()))
            self.assertIs(HealthState.UP, health.state)
        session.do(at_seconds, ProbeFailed("lektor-1", "silent"))
        session.do(at_seconds + 0.1, LoadReported("lektor-1", self.report()))
        self.assertIs(HealthState.DOWN, health.state)
        session.do(at_seconds + 0.2, LoadReported("lektor-1", self.report(), TUNNEL))
        self.assertIs(HealthState.UP, health.state)
        session.do(at_seconds + 0.3, ProbeFailed("lektor-1", "silent"))
        session.do(at_seconds + 0.6, LoadReported("lektor-1", self.report(), TUNNEL))
        self.assertIs(HealthState.UP, health.state)

    def test_other_upstreams_are_probed_once_two_are_tunnelled(self):
        session = Session(runners=4, slots=8)
        for name in ("lektor-1", "lektor-2"):
            session.do(1.0, ProbeFailed(name, "silent"))
            session.do(1.5, LoadReported(name, self.report(), TUNNEL))
        suspected = [item.is_suspected for item in session.scheduler.upstreams]
        self.assertEqual([False, False, True, True], suspected)

    def report(self):
        return LoadReport("one", "m", 1, 8, 0, 0, 8000.0, 60_000)


class TunnelTest(TestCase):
    def test_host_returns_to_its_own_links(self):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host = hosts["entry-1"]
                await cut_off(host, bench, partition)
                partition.heal("entry-1")
                pool = host.daemon.scheduler._scheduler.pool
                await until(lambda: not pool.paths.tunnelled)
                answer = await host.complete("after", headers=TERMS)
                await until(lambda: not tunnels_of(host).peers.open_counts)
                return answer.status_code

        self.assertEqual(200, run(main))

    def test_marked_request_runs_once_if_the_tunnel_breaks_under_it(self):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                await cut_off(host, bench, partition)
                for runner in bench.runners.values():
                    runner.engine.faults.is_frozen = True
                answers = []

                async def send():
                    terms = {**TERMS, "Rampwick-Repeat": "never"}
                    answers.append(await host.complete("the one", headers=terms))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await until(lambda: served_by(peer).active_count)
                    for tunnel in served_by(peer)._tunnels:
                        tunnel._stream.close()
                body = answers[0].json()
                return body["error"]["was_run"], bench.ran().count("the one")

        was_run, ran = run(main)
        self.assertEqual("maybe", was_run)
        self.assertLessEqual(ran, 1)

    def test_refusal_is_immediate_and_not_run_if_no_peer_reaches_an_upstream(self):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                partition.cut("entry-2", RESET)
                partition.cut("entry-1", RESET)
                for number in range(8):
                    for each in (host, peer):
                        await each.complete(f"cut off {number}", headers=TERMS)
                answer = await host.complete("refused", headers=TERMS)
                return answer.json()["error"]["was_run"], bench.ran()

        was_run, ran = run(main)
        self.assertEqual("no", was_run)
        self.assertNotIn("refused", ran)

    def test_tunnel_ends_at_the_upstream_when_its_caller_leaves(self):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                await cut_off(host, bench, partition)
                with anyio.move_on_after(0.5):
                    await host.complete("long", max_tokens=100_000)
                served = served_by(peer)._tunnels
                await until(lambda: not any(item._awaits_answer for item in served))
                engines = [runner.engine for runner in bench.runners.values()]
                await until(lambda: not any(item.running_count for item in engines))

        run(main)

    def test_stopping_host_opens_no_tunnels_and_waits_for_answers(self):
        async def main():
            async with run_hosts(("entry-1", "entry-2", "entry-3")) as found:
                hosts, bench, partition = found
                host, peer, _ = hosts.values()
                await cut_off(host, bench, partition)
                stopping = served_by(peer)
                stopping.is_leaving = True
                opened_before = stopping.results.get("opened", 0)
                peers = tunnels_of(host).peers
                with without_timeouts(host), recorded(peers) as steps:
                    address = bench.entries["r0"].address
                    for _ in range(4):
                        await tunnels_of(host).open("r0", address)
                opened = stopping.results.get("opened", 0) - opened_before
                return steps, opened, peers.open_counts["entry-3"]

        # The host's probes open tunnels at the same time. They may be refused as well,
        # if they are under way when the first refusal arrives.
        steps, opened, through_other = run(main)
        self.assertEqual(0, opened)
        self.assertLessEqual(4, through_other)
        after_refusal = steps[steps.index("entry-2 refuses") :]
        self.assertNotIn("entry-2 is asked", after_refusal)

    def test_idle_tunnel_through_a_stopping_peer_is_not_used_again(self):
        async def main():
            async with run_hosts() as (hosts, bench, _):
                host, peer = hosts.values()
                tunnel = await tunnels_of(host).open("r0", bench.entries["r0"].address)
                before = tunnel.is_readable()
                peer.daemon._gossip.summaries.is_leaving = True
                await until(tunnel.is_readable)
                tunnel.close()
                return before

        self.assertFalse(run(main))

    def test_peer_is_not_avoided_after_a_probe_that_was_cancelled(self):
        async def main():
            async with run_hosts() as (hosts, bench, _):
                client = tunnels_of(hosts["entry-1"])
                with anyio.CancelScope() as scope:
                    scope.cancel()
                    await client.open("r0", bench.entries["r0"].address)
                return client.peers._avoided_until_seconds

        self.assertEqual({}, run(main))

    def test_stopping_host_waits_for_a_stream_that_it_forwards(self):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                await cut_off(host, bench, partition)
                answers = []

                async def stream():
                    answers.append(await host.stream("long", max_tokens=300))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(stream)
                    engines = [runner.engine for runner in bench.runners.values()]
                    await until(lambda: any(item.running_count for item in engines))
                    await anyio.sleep(0.05)
                    peer.daemon.lifecycle.begin_stop()
                    await peer.daemon.stop()
                    return len(answers)

        self.assertEqual(1, run(main))


class CutOffControllerTest(TestCase):
    def test_lease_passes_to_a_host_that_reaches_runners(self):
        async def main():
            async with run_hosts(extra="[steward]\nlease_seconds = 0.6\n") as found:
                hosts, bench, partition = found
                one, two = hosts.values()

                def holds(host):
                    return host.daemon.rollout_controller.is_holder

                await until(lambda: holds(one) or holds(two))
                holder, other = (one, two) if holds(one) else (two, one)
                name = "entry-1" if holder is one else "entry-2"
                partition.cut(name, HANG)
                number = 0
                while not is_tunnelled(holder, *bench.runners):
                    await holder.complete(f"to be cut off {number}", headers=TERMS)
                    number += 1
                await until(lambda: holds(other))
                return holds(holder)

        self.assertFalse(run(main))


class TunnelBytesTest(TestCase):
    """What one end of a tunnel does reaches the other end as what it is."""

    def talk(self, script, kind=LOSE_NEW):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                async with anyio.create_task_group() as tasks:
                    upstream = ScriptedUpstream("r0")
                    upstream.scripts = [script]
                    await tasks.start(upstream.serve)
                    allow_all = mock.Mock(return_value="")
                    served_by(peer)._find_refusal = allow_all
                    tunnel = await tunnels_of(host).open("r0", upstream.address)
                    request = b"POST /once/1 HTTP/1.1\r\nHost: x\r\n"
                    request += b"Rampwick-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
                    await tunnel.send(request, never_checked)
                    received = b""
                    try:
                        while data := await tunnel.receive():
                            received += data
                        ending = "closed"
                    except ConnectionResetError:
                        ending = "reset"
                    except TunnelLostError:
                        ending = "lost"
                    finally:
                        tunnel.close()
                    tasks.cancel_scope.cancel()
                return received, ending, peer

        return run(main)

    def test_large_answer_arrives_whole(self):
        body = bytes(range(256)) * 4000

        async def answer(exchange):
            await exchange.answer(body)
            await exchange.stream.aclose()

        received, ending, _ = self.talk(answer)
        self.assertEqual("closed", ending)
        self.assertTrue(received.endswith(body))

    def test_reset_by_the_upstream_is_a_reset(self):
        async def reset(exchange):
            await exchange.send(exchange.head(length=100) + b"part")
            await anyio.sleep(0.1)
            exchange.reset()
            await exchange.stream.aclose()

        received, ending, _ = self.talk(reset)
        self.assertEqual("reset", ending)
        self.assertTrue(received.endswith(b"part"))

    def test_reset_that_a_write_meets_does_not_lose_the_answer_before_it(self):
        class Peer:
            """The stream of a peer that sends one request and waits."""

            def __init__(self):
                self.requests = [TunnelData(b"request")]
                self.answers = []

            async def receive(self):
                while not self.requests:
                    await anyio.sleep_forever()
                return self.requests.pop()

            async def send_all(self, message):
                self.answers.append(message)

        async def main():
            async with open_reset_connection(unread=b"early answer") as upstream:
                peer = Peer()
                served = _tunnel_server.ServedTunnel(peer, upstream, anyio.current_time)
                with mock.patch.object(_tunnel_server, "CLOSE_TIMEOUT_SECONDS", 0.0):
                    await served.run()
                return peer.answers

        data, end = run(main)
        self.assertEqual(TunnelData(b"early answer"), data)
        self.assertIsInstance(end, TunnelEnd)
        self.assertNotEqual("", end.error)

    def test_break_between_the_hosts_is_no_end_of_an_answer(self):
        async def main():
            async with run_hosts() as (hosts, bench, _):
                host, peer = hosts.values()
                address = bench.entries["r0"].address
                tunnel = await tunnels_of(host).open("r0", address)
                for served in served_by(peer)._tunnels:
                    served._stream.close()
                try:
                    await tunnel.receive()
                except TunnelLostError:
                    return "lost"

        self.assertEqual("lost", run(main))


class RefusalTest(TestCase):
    def refuse(self, prepare):
        async def main():
            async with run_hosts() as (hosts, bench, partition):
                host, peer = hosts.values()
                address = prepare(peer, partition) or bench.entries["r0"].address
                try:
                    await tunnels_of(host).open("r0", address)
                except TunnelRefusedError as error:
                    return str(error)

        return run(main)

    def test_tunnels_lead_to_listed_addresses_only(self):
        self.assertIn("unknown", self.refuse(lambda peer, _: "127.0.0.1:9"))

    def test_tunnels_are_limited(self):
        def limit(peer, partition):
            served_by(peer)._max_count = 0

        self.assertIn("busy", self.refuse(limit))

    def test_peer_that_uses_tunnels_itself_opens_none(self):
        def tunnel(peer, partition):
            pool = peer.daemon.scheduler._scheduler.pool
            pool.paths.note_answer("r0", TUNNEL, math.inf)
            # The link is sound, and an answer to a probe would show it.
            pool.paths.note_answer = lambda *_: False

        self.assertIn("tunnelled", self.refuse(tunnel))

    def test_peer_that_cannot_reach_the_upstream_says_so(self):
        def cut(peer, partition):
            partition.cut("entry-2", RESET)

        self.assertIn("unreachable", self.refuse(cut))

    def test_peer_that_knows_no_tunnels_is_passed_over(self):
        async def main():
            async with run_hosts() as (hosts, bench, _), anyio.create_task_group() as t:
                host, peer = hosts.values()

                async def close_at_once(stream):
                    await stream.receive()
                    await stream.aclose()

                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                t.start_soon(listener.serve, close_at_once)
                old = Member("entry-0", "trnava", f"127.0.0.1:{port}")
                client = tunnels_of(host)
                found = client._list_peers()
                client._list_peers = lambda: [old, *found]
                client.peers.note_begun("entry-2")
                address = bench.entries["r0"].address
                await client.open("r0", address)
                t.cancel_scope.cancel()
                now_seconds = host.daemon._clocks.monotonic()
                order = ranked(client.peers, [old, *found], "r0", "", now_seconds)
                return client.peers.open_counts, order

        counts, order = run(main)
        self.assertEqual({"entry-2": 2}, counts)
        self.assertEqual(["entry-2", "entry-0"], [item.name for item in order])
