"""A stream goes on at its version after all hosts have ended at once."""

from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import attrs
from testtools import TestCase

from rampwick_platform import (
    HistoryGoneError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from rampwick_schema import StoredHistory, StoredVersion

from .bench import until
from .scripted import (
    MemoryStore,
    ScriptedUpstream,
    list_upstream,
    make_tree,
    run_routed_host,
)
from .test_routed import all_scripts
from .test_software_versions import (
    MIXED,
    PEERS,
    all_requests,
    begin_or_go_on,
    begin_stream,
    is_leaving,
    resume,
    streams_of,
    versions_by_stream,
)

TEST_TIMEOUT_SECONDS = 60.0

ONE = dict.fromkeys("abcd", "v1")

#: Time for which a host waits before it writes, and a write.
WRITTEN_SECONDS = 1.6

#: Time for which the hosts run where a history is to be as long as a stream may last.
ROUTE_SECONDS = 2.5


def run(scenario, versions=MIXED, timeout_seconds=None):
    """Run a scenario with a store and upstreams, which starts and ends the hosts."""

    async def main():
        store = MemoryStore()
        store.write("config/main", tree(timeout_seconds))
        servers = {}
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for name, version in versions.items():
                    servers[name] = ScriptedUpstream(name)
                    await tasks.start(servers[name].serve)
                    list_upstream(store, servers[name], "notes", version=version)
                all_scripts(servers, begin_or_go_on)
                result = await scenario(store, servers)
                tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


def tree(timeout_seconds):
    """Return the configuration with another time-out of its routes."""
    config = make_tree()
    if timeout_seconds is None:
        return config
    routes = [
        attrs.evolve(route, timeout_seconds=timeout_seconds)
        for route in config.routing.routes
    ]
    return attrs.evolve(config, routing=attrs.evolve(config.routing, routes=routes))


@asynccontextmanager
async def hosts(store, count=4, cut_off=None, see=None):
    """Run two hosts; the end of the context ends both at once, without a stop.

    ``cut_off`` is the number of a host whose writes fail, and ``see`` returns the store
    as a host sees it.
    """
    async with AsyncExitStack() as stack:
        found, seeds = [], ""
        for number, name in enumerate(("entry-1", "entry-2")):
            seen = see(store) if see else store
            if number == cut_off:
                seen = RefusedWrites(store)
            host = await stack.enter_async_context(
                run_routed_host(seen, name, peers=PEERS + seeds, has_versions=True)
            )
            seeds = f'seeds = ["{host.peer_address}"]\n'
            found.append(host)
        for host in found:
            await until(lambda host=host: host.upstreams_count == count)
        yield found


async def begin(store, servers, count=6, seconds=WRITTEN_SECONDS):
    """Begin streams, then end all hosts."""
    async with hosts(store, len(servers)) as (one, _):
        await anyio.sleep(seconds)
        for number in range(count):
            await begin_stream(one, f"s{number}")
        await anyio.sleep(0.5)


async def begin_at_both(store, servers):
    """Begin three streams at each version, then end all hosts."""
    async with hosts(store) as (one, two):
        await anyio.sleep(WRITTEN_SECONDS)
        for number in range(3):
            await begin_stream(one, f"s{number}")
        for state in ("leaving", "live"):
            for name in ("a", "c"):
                list_upstream(store, servers[name], "notes", state, "v1")
            await until(lambda state=state: is_leaving(one, "c") == (state != "live"))
            if state == "leaving":
                for number in range(3, 6):
                    await begin_stream(one, f"s{number}")
        await until(lambda: len(streams_of(two)) == 6)
        await anyio.sleep(0.5)


async def resume_all(host, count=6):
    """Take all streams up as callers do that repeat what was refused for a moment."""
    statuses = []
    for number in range(count):
        for attempt in range(1, 5):
            view = await resume(host, f"s{number}", attempt)
            if view.status == 200:
                break
            await anyio.sleep(0.25)
        statuses.append(view.status)
    return statuses


class AllHostsEndedTest(TestCase):
    def test_streams_of_two_versions_go_on_after_all_hosts_have_ended(self):
        async def scenario(store, servers):
            await begin_at_both(store, servers)
            async with hosts(store) as (one, _):
                return await resume_all(one), versions_by_stream(servers)

        statuses, found = run(scenario)
        self.assertEqual([200] * 6, statuses)
        self.assertEqual([1] * 6, [len(versions) for versions in found.values()])
        self.assertEqual({"v1", "v2"}, set.union(*found.values()))

    def test_streams_of_the_only_version_go_on_after_all_hosts_have_ended(self):
        async def scenario(store, servers):
            await begin(store, servers, seconds=ROUTE_SECONDS + 5.0)
            async with hosts(store) as (one, _):
                return await resume_all(one)

        statuses = run(scenario, versions=ONE, timeout_seconds=ROUTE_SECONDS)
        self.assertEqual([200] * 6, statuses)

    def test_version_that_came_while_no_host_ran_makes_the_history_mixed(self):
        async def scenario(store, servers):
            await begin(store, servers, seconds=ROUTE_SECONDS + 5.0)
            list_upstream(store, servers["d"], "notes", version="v2")
            store.delete("upstreams/d")
            async with hosts(store, count=3) as (one, _):
                view = await resume(one, "unwritten", 1)
                return view.status

        status = run(scenario, versions=ONE, timeout_seconds=ROUTE_SECONDS)
        self.assertEqual(503, status)

    def test_stream_without_a_record_is_refused_after_all_hosts_have_ended(self):
        async def scenario(store, servers):
            async with hosts(store) as (one, _):
                await anyio.sleep(WRITTEN_SECONDS)
                store.failure = PlatformUnavailableError("away", step="put")
                for number in range(3):
                    await begin_stream(one, f"s{number}")
            store.failure = None
            count = len(all_requests(servers))
            async with hosts(store) as (one, _):
                statuses = await resume_all(one, 3)
            return statuses, len(all_requests(servers)) - count

        self.assertEqual(([503] * 3, 0), run(scenario))

    def test_streams_go_on_though_one_host_could_not_write(self):
        async def scenario(store, servers):
            async with hosts(store, cut_off=cut_off) as (one, two):
                await until(lambda: two.daemon.scheduler.hosts_count == 2)
                await anyio.sleep(WRITTEN_SECONDS)
                for number in range(3):
                    await begin_stream(one, f"s{number}")
                await anyio.sleep(1.5)
            async with hosts(store) as (one, _):
                return await resume_all(one, 3)

        for cut_off in (0, 1):
            self.assertEqual([200] * 3, run(scenario), cut_off)

    def test_streams_go_on_though_the_store_lost_calls(self):
        async def scenario(store, servers):
            async with hosts(store, see=LostCalls) as (one, _):
                await anyio.sleep(WRITTEN_SECONDS)
                for number in range(4):
                    await begin_stream(one, f"s{number}")
                # Less than the time-out of a call.
                await anyio.sleep(1.2)
            async with hosts(store) as (one, _):
                return await resume_all(one, 4), versions_by_stream(servers)

        statuses, found = run(scenario)
        self.assertEqual([200] * 4, statuses)
        self.assertEqual([1] * 4, [len(versions) for versions in found.values()])

    def test_streams_go_on_once_the_store_answers_after_the_start(self):
        async def scenario(store, servers):
            await begin(store, servers)
            records = RefusedPrefix(store, "streams/")
            async with hosts(records) as (one, _):
                early = await resume(one, "s0", 9)
                records.is_refused = False
                return early.status, await resume_all(one), versions_by_stream(servers)

        early, statuses, found = run(scenario)
        self.assertEqual((503, [200] * 6), (early, statuses))
        self.assertEqual([1] * 6, [len(versions) for versions in found.values()])

    def test_history_that_the_store_has_forgotten_proves_nothing(self):
        async def scenario(store, servers):
            await begin(store, servers, seconds=ROUTE_SECONDS + 5.0)
            forgetful = ForgottenHistory(store)
            async with hosts(forgetful) as (one, _):
                return (await resume(one, "unwritten", 1)).status

        status = run(scenario, versions=ONE, timeout_seconds=ROUTE_SECONDS)
        self.assertEqual(503, status)

    def test_odd_entry_written_while_no_host_ran_hides_no_history(self):
        async def scenario(store, servers):
            await begin(store, servers, seconds=ROUTE_SECONDS + 5.0)
            store.write("upstreams/odd", make_tree())
            async with hosts(store) as (one, _):
                return (await resume(one, "unwritten", 1)).status

        status = run(scenario, versions=ONE, timeout_seconds=ROUTE_SECONDS)
        self.assertEqual(200, status)

    def test_history_of_a_later_version_of_the_store_proves_nothing(self):
        async def scenario(store, servers):
            versions = [StoredVersion("notes", "v1", 0.0)]
            history = StoredHistory("x", store.version + 50, 500.0, versions)
            store.write("streams/fleet-history", history)
            async with hosts(store) as (one, _):
                return (await resume(one, "unwritten", 1)).status

        self.assertEqual(503, run(scenario, versions=ONE))

    def test_unreadable_segment_leaves_the_others_readable(self):
        async def scenario(store, servers):
            await begin(store, servers)
            for name in ("fleet-97", "fleet-x", "other-history", "else"):
                store.write(f"streams/{name}", make_tree())
            async with hosts(store) as (one, _):
                return await resume_all(one), versions_by_stream(servers)

        statuses, found = run(scenario)
        self.assertEqual([200] * 6, statuses)
        self.assertEqual([1] * 6, [len(versions) for versions in found.values()])


class StoreProxy:
    """A store that hosts see with faults."""

    def __init__(self, store):
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)


class RefusedPrefix(StoreProxy):
    """A store that refuses to list one kind."""

    def __init__(self, store, prefix):
        super().__init__(store)
        self._prefix = prefix
        self.is_refused = True

    async def list_objects(self, prefix, after_key=""):
        if prefix == self._prefix and self.is_refused:
            raise PlatformUnavailableError("status 503", step="list objects")
        return await self._store.list_objects(prefix, after_key)


class RefusedWrites(StoreProxy):
    """A store that refuses to write."""

    async def put(self, key, value, expected_version):
        raise PlatformUnavailableError("status 503", step="put object")


class LostCalls(StoreProxy):
    """A store that loses each second call about streams."""

    def __init__(self, store):
        super().__init__(store)
        self._calls_count = 0

    async def _lose(self, key):
        if key.startswith("streams/"):
            self._calls_count += 1
            if self._calls_count % 2:
                await anyio.sleep(2.0)
                raise OutcomeUnknownError("timed out", step="lost")

    async def put(self, key, value, expected_version):
        await self._lose(key)
        return await self._store.put(key, value, expected_version)

    async def list_objects(self, prefix, after_key=""):
        await self._lose(prefix)
        return await self._store.list_objects(prefix, after_key)


class ForgottenHistory(StoreProxy):
    """A store that has forgotten what was before this object was made."""

    def __init__(self, store):
        super().__init__(store)
        self._first_version = store.version

    async def watch(self, prefix, after_version, timeout_seconds):
        if after_version < self._first_version:
            raise HistoryGoneError("status 410", step="watch objects")
        return await self._store.watch(prefix, after_version, timeout_seconds)
