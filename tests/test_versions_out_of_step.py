"""A host whose list is out of step continues no stream at another software version."""

import anyio
from testtools import TestCase

from rampwick_policy import (
    Dispatch,
    HostListRead,
    LoadReported,
    Refuse,
    RequestArrived,
    Scheduler,
    TreeChanged,
    TreeView,
    stream_key,
)
from rampwick_policy._tree import resolve_workspace
from rampwick_schema import HostEntry, HostList, Node, Tree, parse_settings

from .bench import until
from .scripted import ScriptedUpstream, list_upstream
from .test_routed import all_scripts
from .test_software_versions import (
    all_requests,
    begin_or_go_on,
    begin_stream,
    resume,
    run,
)

#: Longest time for which a stream of the stepped host may last.
TIMEOUT_SECONDS = 8.0

#: Time after which a host of the scripted fleet knows all versions of its service.
KNOWN_SECONDS = 100.0


class SteppedHost:
    """A host without peers, whose list is read and confirmed by hand."""

    def __init__(self, *versions):
        settings = parse_settings('[host]\nname = "e"\nhall = "a"\n', source="test")
        self.scheduler = Scheduler(settings, has_software_versions=True)
        self.confirmed_at_seconds = 0.0
        history = self.scheduler.software_versions.history
        history.list_age_seconds = lambda now: now - self.confirmed_at_seconds
        self._tree = Tree(1, {"/": Node(), "/a": Node(is_workspace=True)})
        self.scheduler.handle(TreeChanged(TreeView(self._tree)), 0.0)
        self._list_version = 0
        self.read_list(0.0, *versions)

    def read_list(self, at, *versions):
        """Read a list with an upstream of each version."""
        entries = [
            HostEntry(
                version,
                "service",
                "a",
                f"{version}:1",
                group="notes",
                software_version=version,
            )
            for version in versions
        ]
        self._list_version += 1
        self.do(at, HostListRead(HostList(self._list_version, entries)))
        for version in versions:
            self.do(at, LoadReported(version, None))
        self.confirmed_at_seconds = at

    def do(self, at, event):
        """Handle an event."""
        return self.scheduler.handle(event, at)

    def take_up(self, at, received_at=None):
        """Return the decision about a stream that another host began."""
        event = RequestArrived(
            request_id=f"r{at}",
            workspace=resolve_workspace(self._tree, "/a"),
            priority_class="interactive",
            deadline_seconds=at + TIMEOUT_SECONDS,
            is_repeatable=True,
            service="notes",
            is_stream=True,
            is_resumable=True,
            resumed_key=stream_key("/a", "begun elsewhere"),
            is_resumption=True,
            max_stream_age_seconds=TIMEOUT_SECONDS,
            received_at_seconds=at if received_at is None else received_at,
        )
        (action,) = self.do(at, event)
        if isinstance(action, Dispatch):
            return action.software_version
        assert isinstance(action, Refuse)
        return action.reason


class SteppedTakeUpTest(TestCase):
    def test_only_version_of_a_list_older_than_the_request_is_not_used(self):
        host = SteppedHost("v1")
        host.read_list(100.0, "v1")
        # A runner of a newer version joins at 100.5 s, begins a stream elsewhere and
        # crashes. The stream is taken up here.
        self.assertEqual("unknown_software_version", host.take_up(102.0))

    def test_only_version_of_a_list_read_after_the_request_is_used(self):
        host = SteppedHost("v1")
        host.read_list(100.0, "v1")
        host.read_list(101.0, "v1")
        self.assertEqual("v1", host.take_up(101.1, received_at=100.9))

    def test_newer_version_in_a_list_read_after_the_request_is_respected(self):
        host = SteppedHost("v1")
        host.read_list(100.0, "v1")
        host.read_list(101.0, "v1", "v2")
        found = host.take_up(101.1, received_at=100.9)
        self.assertEqual("unknown_software_version", found)


def run_known(scenario):
    """Run a scenario with a host that has known its only version for long."""

    async def prepare(host, servers):
        all_scripts(servers, begin_or_go_on)
        history = host.daemon.scheduler.software_versions.history
        history._known_since_seconds -= KNOWN_SECONDS
        history._seen_at.clear()
        return await scenario(host, servers)

    return run(prepare, names=("a",), versions={"a": "v1"})


class HostOutOfStepTest(TestCase):
    """The host has no peers and reads a list that is out of date."""

    def test_late_answer_of_the_store_leads_to_no_other_version(self):
        async def scenario(host, servers):
            store, watch = host.store, host.store.watch

            async def watch_late(*terms):
                listing = await watch(*terms)
                await anyio.sleep_forever()
                return listing

            store.watch = watch_late
            # The watch that is under way ends first.
            await anyio.sleep(1.5)
            joined = ScriptedUpstream("b")
            joined.address = servers["a"].address
            list_upstream(store, joined, "notes", version="v2")
            view = await resume(host, "begun-elsewhere", 1)
            return view.status, len(all_requests(servers))

        self.assertEqual((503, 0), run_known(scenario))

    def test_host_that_is_cut_off_takes_no_stream_up_by_its_old_list(self):
        async def scenario(host, servers):
            async def hang(*terms):
                await anyio.sleep_forever()

            host.store.watch = host.store.list_objects = hang
            await anyio.sleep(1.5)
            view = await resume(host, "begun-elsewhere", 1)
            return (
                view.status,
                "retry-after" in view.headers,
                len(servers["a"].requests),
            )

        self.assertEqual((503, True, 0), run_known(scenario))

    def test_version_that_came_and_went_between_two_lists_is_respected(self):
        async def scenario(host, servers):
            joined = ScriptedUpstream("b")
            joined.address = servers["a"].address
            list_upstream(host.store, joined, "notes", version="v2")
            host.store.delete("upstreams/b")
            source = host.daemon._hosts.source
            await until(lambda: source.store_version >= host.store.version)
            return (await resume(host, "begun-elsewhere", 1)).status

        self.assertEqual(503, run_known(scenario))

    def test_take_ups_that_wait_share_one_reading(self):
        async def scenario(host, servers):
            store, statuses = host.store, []
            list_objects = store.list_objects

            async def list_slowly(*terms):
                listing = await list_objects(*terms)
                await anyio.sleep(0.1)
                return listing

            async def take_up(number):
                view = await resume(host, f"begun-elsewhere-{number}", 1)
                statuses.append(view.status)

            store.list_objects = list_slowly
            before = store.calls["list upstreams/"]
            async with anyio.create_task_group() as tasks:
                for number in range(20):
                    tasks.start_soon(take_up, number)
            return statuses, store.calls["list upstreams/"] - before

        statuses, readings_count = run_known(scenario)
        self.assertEqual([200] * 20, statuses)
        self.assertLess(readings_count, 5)

    def test_recorded_stream_needs_no_reading(self):
        async def scenario(host, servers):
            await begin_stream(host, "s1")
            before = host.store.calls["list upstreams/"]
            view = await resume(host, "s1", 1)
            return view.status, host.store.calls["list upstreams/"] - before

        self.assertEqual((200, 0), run_known(scenario))


class StoppedProcessTest(TestCase):
    def test_version_that_came_and_went_while_the_process_stood_still(self):
        async def scenario(host, servers):
            hosts = host.daemon._hosts
            # The store confirms the list before the next tick of the scheduler.
            hosts._confirmed_at_seconds -= 5.0
            hosts.confirm(hosts._read_clock())
            return (await resume(host, "begun-elsewhere", 1)).status

        self.assertEqual(503, run_known(scenario))
