"""A stream stays with the software version that began it."""

from contextlib import AsyncExitStack, asynccontextmanager
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_policy import AttemptFailed, Outcome, stream_key
from rampwick_router.entry import _routed_exchange
from rampwick_router.entry._event_framing import EventFramer
from rampwick_schema import UNANNOUNCED_MESSAGES_VERSION

from .bench import until
from .scripted import (
    HOST,
    KEY,
    Hangup,
    MemoryStore,
    ScriptedUpstream,
    list_upstream,
    make_tree,
    run_routed,
    run_routed_host,
)
from .test_routed import CHUNKED, all_scripts, chunk, event, stream_of

TEST_TIMEOUT_SECONDS = 40.0

#: Versions of the software of the upstreams, by name.
MIXED = {"a": "v1", "b": "v2", "c": "v1", "d": "v2"}

PEERS = """
secret = "of the tests"
gossip_interval_seconds = 0.05
dead_after_seconds = 0.5
"""


def run(scenario, names=("a", "b", "c", "d"), **options):
    """Run a scenario with one host and upstreams of two versions."""
    options.setdefault("versions", {name: MIXED[name] for name in names})

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            async with run_routed({"notes": list(names)}, **options) as (host, servers):
                return await scenario(host, servers)

    return anyio.run(main)


def run_hosts(scenario, names=("a", "b", "c", "d"), **options):
    """Run a scenario with two hosts that are peers, before the same upstreams."""

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            async with two_hosts(names, **options) as (one, two, servers):
                return await scenario(one, two, servers)

    return anyio.run(main)


@asynccontextmanager
async def two_hosts(names, versions=MIXED):
    """Run two hosts that know each other and all upstreams."""
    store = MemoryStore()
    store.write("config/main", make_tree())
    servers = {}
    async with anyio.create_task_group() as tasks, AsyncExitStack() as stack:
        for name in names:
            servers[name] = ScriptedUpstream(name)
            await tasks.start(servers[name].serve)
            list_upstream(store, servers[name], "notes", version=versions[name])
        hosts = []
        seeds = ""
        for name in ("entry-1", "entry-2"):
            host = await stack.enter_async_context(
                run_routed_host(store, name, peers=PEERS + seeds, has_versions=True)
            )
            seeds = f'seeds = ["{host.peer_address}"]\n'
            hosts.append(host)
        for host in hosts:
            await until(lambda host=host: host.upstreams_count == len(names))
            await until(lambda host=host: host.daemon.scheduler.hosts_count == 2)
        try:
            yield *hosts, servers
        finally:
            await stack.aclose()
            tasks.cancel_scope.cancel()


async def begin_stream(host, request_id, path="/stream/1"):
    """Read a stream up to its third event, and leave."""
    address, _, port = host.address.partition(":")
    request = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRampwick-Request-Id: {request_id}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    received = b""
    async with await anyio.connect_tcp(address, int(port)) as stream:
        await stream.send(request.encode())
        while event(3) not in received:
            received += await stream.receive()


async def resume(host, first_id, number, path="/stream/1"):
    """Take a stream up after its third event."""
    headers = {"Last-Event-Id": "3", "Rampwick-Resumes": first_id}
    return await host.call(path, request_id=f"{first_id}-{number}", headers=headers)


async def begin_or_go_on(exchange):
    """Stream three events and wait, or send the rest of a stream."""
    if exchange.headers.get("last-event-id"):
        await stream_of(4, 6)(exchange)
        return
    await exchange.send(exchange.head(extra=CHUNKED))
    for number in (1, 2, 3):
        await exchange.send(chunk(event(number)))
    await anyio.sleep_forever()


def versions_by_stream(servers):
    """Return the versions at which each stream ran, by the id of its first attempt."""
    found = {}
    for name, server in servers.items():
        for exchange in server.requests:
            first_id = exchange.request_id.partition("-")[0]
            found.setdefault(first_id, set()).add(MIXED[name])
    return found


class OneAnswerTest(TestCase):
    def test_broken_stream_goes_on_only_at_the_version_that_began_it(self):
        async def scenario(host, servers):
            for number in range(8):
                all_scripts(servers, break_or_go_on)
                await host.call("/stream/1", request_id=f"r{number}")
            return versions_by_stream(servers)

        async def break_or_go_on(exchange):
            if exchange.headers.get("last-event-id"):
                await stream_of(4, 6)(exchange)
            else:
                await stream_of(1, 9, stop_after=3)(exchange)

        found = run(scenario)
        self.assertEqual([1] * 8, [len(versions) for versions in found.values()], found)

    def test_stream_is_cut_if_no_upstream_has_its_version(self):
        async def scenario(host, servers):
            all_scripts(servers, break_after_three)
            response = await host.call("/stream/1")
            return response, versions_by_stream(servers)

        response, found = run(scenario, names=("a", "b"))
        self.assertFalse(response.is_whole)
        self.assertEqual(1, len(found["r1"]))

    def test_stream_that_has_not_begun_may_change_the_version(self):
        async def scenario(host, servers):
            async def hang_up(exchange):
                for server in servers.values():
                    server.scripts = [stream_of(1, 6)]
                raise Hangup

            all_scripts(servers, hang_up)
            response = await host.call("/stream/1")
            return response, versions_by_stream(servers)

        response, found = run(scenario, names=("a", "b"))
        self.assertTrue(response.is_whole)
        self.assertEqual({"v1", "v2"}, found["r1"])

    def test_events_of_an_attempt_that_was_given_up_are_not_forwarded(self):
        async def scenario(host, servers):
            scheduler = host.daemon.scheduler
            given_up = []

            class Framer(EventFramer):
                def feed(self, data):
                    batch = super().feed(data)
                    (item,) = scheduler._scheduler._requests
                    if batch.count and not given_up:
                        given_up.append(item.lifecycle.attempt_id)
                        event = AttemptFailed(
                            item.request_id, given_up[0], Outcome.BROKEN, "probe"
                        )
                        scheduler.post(event)
                    return batch

            all_scripts(servers, stream_of(1, 6))
            with mock.patch.object(_routed_exchange, "EventFramer", Framer):
                response = await host.call("/stream/1")
            last_ids = [
                item.headers.get("last-event-id") for item in all_requests(servers)
            ]
            return response, last_ids

        response, last_ids = run(scenario, names=("a", "b"))
        self.assertEqual([None, None], last_ids)
        self.assertTrue(response.is_whole)
        self.assertEqual(6, response.body.count(b"data:"))

    def test_unknown_versions_are_not_taken_for_the_same(self):
        async def scenario(host, servers):
            all_scripts(servers, break_after_three)
            response = await host.call("/stream/1")
            return response.is_whole, len(all_requests(servers))

        unknown = {"a": "", "c": ""}
        self.assertEqual((False, 1), run(scenario, names=unknown, versions=unknown))

    def test_versions_have_no_effect_where_entries_do_not_state_them(self):
        async def scenario(host, servers):
            async def break_then_go_on(exchange):
                for server in servers.values():
                    server.scripts = [stream_of(4, 6)]
                await break_after_three(exchange)

            all_scripts(servers, break_then_go_on)
            return (await host.call("/stream/1")).is_whole

        self.assertTrue(run(scenario, versions=None))


async def break_after_three(exchange):
    """Stream three events and break off."""
    await stream_of(1, 9, stop_after=3)(exchange)


class ReturningCallerTest(TestCase):
    def test_stream_taken_up_at_another_host_goes_on_at_its_version(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            for number in range(6):
                await begin_stream(one, f"s{number}")
            for name in {exchange.upstream.name for exchange in all_requests(servers)}:
                list_upstream(one.store, servers[name], "notes", "leaving", MIXED[name])
                await until(lambda name=name: is_leaving(two, name))
            await until(lambda: len(streams_of(two)) == 6)
            views = [await resume(two, f"s{number}", 1) for number in range(6)]
            return versions_by_stream(servers), [view.status for view in views]

        # The upstream after the one that is leaving has the other version.
        found, statuses = run_hosts(scenario)
        self.assertEqual([{"v1"}] * 6, list(found.values()))
        self.assertEqual([200] * 6, statuses)

    def test_stream_may_be_taken_up_again_after_its_first_deadline(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            await begin_stream(one, "s1")
            await until(lambda: len(streams_of(two)) == 1)
            key = stream_key("/t", "s1")
            first_seconds = streams_of(two).find(key, 0.0).expires_at_seconds
            await anyio.sleep(2.0)
            await resume(two, "s1", 1)
            return streams_of(two).find(key, 0.0).expires_at_seconds - first_seconds

        self.assertGreater(run_hosts(scenario), 1.5)

    def test_stream_goes_on_after_the_host_that_began_it_is_gone(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            await begin_stream(one, "s1")
            await until(lambda: len(streams_of(two)) == 1)
            for link in one.daemon._gossip._links.links:
                link.scope.cancel()
            return await resume(two, "s1", 1), versions_by_stream(servers)

        view, found = run_hosts(scenario)
        self.assertEqual((200, 1), (view.status, len(found["s1"])))

    def test_stream_of_unknown_version_is_refused_as_not_run(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            await begin_stream(one, "s1")
            await until(lambda: len(streams_of(two)) == 1)
            requests_count = len(all_requests(servers))
            headers = {"Last-Event-Id": "3"}
            views = [
                await two.call("/stream/1", request_id=f"r{number}", headers=item)
                for number, item in enumerate(
                    (
                        headers,
                        {**headers, "Rampwick-Resumes": "unknown"},
                        {**headers, "Rampwick-Resumes": "s1" * 400},
                        {**headers, "Rampwick-Resumes": ""},
                    )
                )
            ]
            return views, len(all_requests(servers)) - requests_count

        views, runs_count = run_hosts(scenario)
        self.assertEqual([503] * 4, [view.status for view in views])
        self.assertEqual(0, runs_count)
        for view in views:
            self.assertIn(b"unknown_software_version", view.body)
            self.assertIn("retry-after", view.headers)

    def test_stream_whose_version_has_left_is_refused_at_once(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            await begin_stream(one, "s1")
            await until(lambda: len(streams_of(two)) == 1)
            (version,) = versions_by_stream(servers)["s1"]
            for name in [name for name in servers if MIXED[name] == version]:
                list_upstream(one.store, servers[name], "notes", "leaving", version)
                await until(lambda name=name: is_leaving(two, name))
            with anyio.fail_after(0.5):
                return await resume(two, "s1", 1)

        view = run_hosts(scenario)
        self.assertEqual(503, view.status)
        self.assertIn(b"no_same_version", view.body)

    def test_stream_of_the_only_version_goes_on_without_a_record(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            versions = two.daemon.scheduler._scheduler.software_versions
            early = await two.call("/stream/1", headers={"Last-Event-Id": "3"})
            # The list hasn't changed for longer than a stream may last.
            versions.history._known_since_seconds -= 100.0
            versions.history._seen_at.clear()
            late = await two.call("/stream/1", headers={"Last-Event-Id": "3"})
            return early.status, late.status

        same = dict.fromkeys("abcd", "v1")
        self.assertEqual((503, 200), run_hosts(scenario, versions=same))

    def test_new_host_learns_of_streams_and_versions_from_its_peers(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            await begin_stream(one, "s1")
            peers = PEERS + f'seeds = ["{one.peer_address}"]\n'
            async with run_routed_host(
                one.store, "entry-3", peers=peers, has_versions=True
            ) as three:
                await until(lambda: len(streams_of(three)) >= 1)
                await until(lambda: three.upstreams_count == len(servers))
                return await resume(three, "s1", 1), versions_by_stream(servers)

        view, found = run_hosts(scenario)
        self.assertEqual((200, 1), (view.status, len(found["s1"])))

    def test_peer_of_an_older_release_gets_no_message_that_it_cannot_decode(self):
        async def scenario(one, two, servers):
            all_scripts(servers, begin_or_go_on)
            for link in one.daemon._gossip._links._links:
                link.messages_version = UNANNOUNCED_MESSAGES_VERSION
            await begin_stream(one, "s1")
            await anyio.sleep(0.4)
            return len(streams_of(one)), len(streams_of(two))

        self.assertEqual((1, 0), run_hosts(scenario))


def streams_of(host):
    """Return the streams that a host remembers."""
    return host.daemon.scheduler.begun_streams


def all_requests(servers):
    """Return the requests that all upstreams received."""
    return [exchange for server in servers.values() for exchange in server.requests]


def is_leaving(host, name):
    """Return whether a host knows that an upstream is leaving."""
    return host.daemon.scheduler._scheduler.upstreams.get(name).entry.state == "leaving"
