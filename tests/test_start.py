"""Start of a host: early listener, peer discovery and transfer of cache contents."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import anyio
import attrs
from testtools import TestCase

from rampwick_platform import ABSENT
from rampwick_platform._records import encode_record
from rampwick_policy import (
    CacheChanges,
    CacheGeneration,
    CacheReported,
    Choice,
    Dispatch,
    HostListRead,
    LivePeers,
    Member,
    MemberTable,
    SaltTable,
    Scheduler,
    Scope,
    TreeChanged,
    TreeView,
    generation_label,
    store_generation,
)
from rampwick_policy._kv_store_contents import KvStoreContents
from rampwick_router._dialects import CacheEvent, CacheEvents
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._cache_outbox import CacheOutbox
from rampwick_router.peers._directory import PeerDirectory
from rampwick_router.peers._messages import cache_events
from rampwick_router.upstream._cache_reader import (
    MAX_REPORTED_EVICTIONS,
    SCAN_INTERVAL_SECONDS,
    STARTUP_SCAN_SECONDS,
    CacheReaderTask,
    CacheSource,
)
from rampwick_schema import (
    HostEntry,
    HostList,
    HostRecord,
    Node,
    Routing,
    Service,
    Tree,
    parse_settings,
)
from rampwick_standin import ObjectStore
from rampwick_start import bind_early, load

from .fakes import FakeApi, ImmediateSender


class EarlyListenerTest(TestCase):
    """Connections are queued and not refused while the daemon is being imported."""

    def bind(self, text):
        folder = self.make_folder()
        path = Path(folder) / "host.toml"
        path.write_text(text)
        listener = bind_early(path)
        if listener is not None:
            self.addCleanup(listener.close)
        return listener

    def make_folder(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_connection_is_accepted_before_the_daemon_is_imported(self):
        listener = self.bind('[listen]\nentry = "127.0.0.1:0"\n')
        address = listener.getsockname()
        with socket.create_connection(address, timeout=5.0) as caller:
            caller.sendall(b"x")
            listener.setblocking(True)
            accepted, _ = listener.accept()
            with accepted:
                self.assertEqual(b"x", accepted.recv(1))

    def test_invalid_settings_and_addresses_are_ignored(self):
        bound = self.bind('[listen]\nentry = "127.0.0.1:0"\n')
        _, port = bound.getsockname()
        texts = [
            "not = = toml",
            "",
            '[listen]\nentry = ""\n',
            "[listen]\nentry = 5\n",
            f'[listen]\nentry = "127.0.0.1:{port}"\n',
        ]
        self.assertEqual([None] * len(texts), [self.bind(text) for text in texts])
        self.assertIsNone(bind_early(Path("no such file")))

    def test_load_returns_the_module(self):
        self.assertIs(socket, load("socket"))


class EarlySignalTest(TestCase):
    """Signals that arrive while the daemon is being imported do not end the host."""

    def start_host(self):
        """Return a process that listens and has not loaded the daemon, its address."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        path = Path(folder.name) / "host.toml"
        path.write_text(
            '[host]\nname = "h"\nhall = "a"\n'
            f'[listen]\nentry = "127.0.0.1:{address[1]}"\n'
            "admin_port = 0\npeer_port = 0\n"
            "[life]\nbalancer_delay_seconds = 0.5\nstop_within_seconds = 8.0\n"
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "rampwick_adapter"],
            env={**os.environ, "RAMPWICK_BOOT": str(path)},
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        # The listener comes first, long before the daemon handles signals.
        while True:
            try:
                socket.create_connection(address, timeout=5.0).close()
                return process, address
            except ConnectionRefusedError:
                self.assertIsNone(process.poll())
                time.sleep(0.002)

    def test_reloads_during_the_start_do_not_end_the_process(self):
        process, _ = self.start_host()
        process.send_signal(signal.SIGHUP)
        lines = []
        while b"settings reloaded" not in (line := process.stdout.readline()):
            self.assertNotEqual(b"", line, lines)
            lines.append(line)
        self.assertIsNone(process.poll())

    def test_callers_in_the_queue_are_answered_if_the_start_is_stopped(self):
        process, address = self.start_host()
        with ExitStack() as stack:
            callers = []
            for number in range(20):
                caller = stack.enter_context(socket.create_connection(address, 10.0))
                caller.sendall(f"GET /{number} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
                callers.append(caller)
            process.send_signal(signal.SIGTERM)
            heads = [_read_or_error(caller)[:12] for caller in callers]
        self.assertEqual([b"HTTP/1.1 503"] * len(callers), heads)
        process.stdout.read()
        self.assertEqual(0, process.wait(8.0))


def _read_or_error(connection):
    try:
        return connection.recv(65536)
    except OSError as error:
        return repr(error).encode()


def record(name):
    return encode_record(HostRecord(name, "h", f"{name}:1", "w"))


class DirectoryTest(TestCase):
    """Peer discovery through the store, as seeds may be the last hosts to restart."""

    def test_host_without_peers_reads_the_directory_immediately(self):
        api = FakeApi()
        found = []

        async def main():
            await api.put("peers/k", record("k"), ABSENT)
            directory = PeerDirectory(
                api,
                Member("e", "h", "e:1"),
                lambda: True,
                lambda: True,
                random.Random(1),
            )
            directory.on_records_read = lambda: found.extend(
                member.name for member in directory.members()
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(directory.run)
                while not found:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(["k"], found)

    def test_reader_rewrites_its_record_after_a_restore_of_the_store(self):
        api = FakeApi()

        async def main():
            directory = PeerDirectory(
                api,
                Member("e", "h", "e:1"),
                lambda: False,
                lambda: True,
                random.Random(1),
            )
            await directory._refresh(is_first=False)
            api.store = ObjectStore()
            await directory._refresh(is_first=False)
            self.assertIsNone(await api.get("peers/e"))
            api.era = 1
            await directory._refresh(is_first=False)
            return await api.get("peers/e")

        self.assertIsNotNone(anyio.run(main))


@attrs.define
class RecordingLink:
    """Fake link to a host that has just started."""

    sent: list = attrs.field(factory=list)

    def put(self, message):
        self.sent.append(message)


class InitialSyncTest(TestCase):
    """A new peer receives the contents of caches, not only their changes."""

    def make_outbox(self, names, hosts_count=3):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        scheduler = SchedulerTask(Scheduler(settings), lambda: 10.0)
        entry = HostEntry(
            "r", "runner", "h", "r:1", incarnation="r", model="m", weights_version=1
        )
        scheduler.post(HostListRead(HostList(1, [entry])))
        changes = CacheChanges("r/1", (b"x" * 8, b"y" * 8), (2500, 3700))
        scheduler.post(CacheReported("r", (changes,)))
        table = MemberTable(Member("e", "h", "e:1"))
        table.merge(Member(f"k{n}", "h", f"k{n}:1") for n in range(hosts_count - 1))
        outbox = CacheOutbox(table, None, scheduler, set, ImmediateSender())
        outbox.list_read_caches = lambda: names
        return outbox

    def test_contents_of_caches_read_by_this_host_are_sent(self):
        link = RecordingLink()
        self.make_outbox({"r"}).send_initial_state(link)
        (seen,) = cache_events(link.sent[0])
        self.assertEqual("r", seen.upstream)
        (changes,) = seen.changes
        contents = dict(zip(changes.prefixes, changes.tokens, strict=True))
        self.assertEqual({b"x" * 8: 2500, b"y" * 8: 3700}, contents)
        self.assertEqual(generation_label(CacheGeneration("r", 1)), changes.label)

    def test_contents_of_caches_read_by_other_hosts_are_not_sent(self):
        link = RecordingLink()
        self.make_outbox(set()).send_initial_state(link)
        self.make_outbox({"other"}).send_initial_state(link)
        self.assertEqual([], link.sent)

    def test_contents_are_not_sent_in_a_large_fleet(self):
        link = RecordingLink()
        self.make_outbox({"r"}, hosts_count=30).send_initial_state(link)
        self.assertEqual([], link.sent)

    def test_only_entries_reported_by_the_store_itself_are_sent(self):
        kept = KvStoreContents()
        kept.note_saved(1, b"x" * 8, 2500, 10.0)
        kept.note_change(2, b"y" * 8, 3700, 10.0)
        (changes,) = kept.contents()
        self.assertEqual(generation_label(store_generation(2)), changes.label)
        self.assertEqual((b"y" * 8,), changes.prefixes)


class LongPromptTest(TestCase):
    """A prompt that occupies a runner for long is published immediately."""

    def is_published(self, missing_tokens):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        task = SchedulerTask(Scheduler(settings), lambda: 10.0)
        calls = []
        task.on_long_prompt = partial(calls.append, True)
        choice = Choice("r", 0, missing_tokens, 0.0, 0.0, 0.0, True)
        dispatch = Dispatch("q", "q.1", "r", "r:1", "r", 1, choice)
        task._execute(dispatch, 10.0)
        return bool(calls)

    def test_only_long_prompts_are_published(self):
        self.assertTrue(self.is_published(3000))
        self.assertFalse(self.is_published(300))


class PagedCache:
    """Fake cache that returns its events in pages, oldest first."""

    def __init__(self, pages):
        self.pages = pages
        self.positions = []

    def events(self, address, since, wait_seconds):
        self.positions.append(since)
        return since

    async def call(self, pool, name, address, request, timeout_seconds, lane=""):
        await anyio.sleep(0)
        return None, request

    def read_events(self, head, since):
        count = self.pages[since] if since < len(self.pages) else 0
        events = [CacheEvent("salt", f"part {since} {n}", 64) for n in range(count)]
        return CacheEvents(1, since + bool(count), False, events)


class CatchUpTest(TestCase):
    """A new host reads all events of a cache before it waits for further ones."""

    def catch_up(self, pages=(), cache=None):
        cache = cache or PagedCache(pages)
        own = Member("e", "h", "e:1")
        reader = CacheReaderTask(
            own, self, None, cache, SaltTable("s"), self.published.append, LivePeers
        )
        source = CacheSource("r", "h", "r:1", "r")
        reader._has_caches = True

        async def main():
            reader._scopes[source] = anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reader._follow, source, reader._scopes[source])
                while not reader.is_caught_up:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        with mock.patch(
            "rampwick_router.upstream._cache_reader.call_upstream", cache.call
        ):
            anyio.run(main)
        return cache.positions

    def setUp(self):
        super().setUp()
        self.published = []

    def post(self, event):
        """Accept the events that the reader posts to the scheduler."""

    def test_pages_are_read_until_one_is_not_full(self):
        self.assertEqual([0, 1, 2], self.catch_up([500, 500, 20]))

    def test_page_that_is_not_full_is_the_last(self):
        self.assertEqual([0], self.catch_up([20, 20]))

    def test_cache_that_repeats_a_page_is_not_read_in_a_loop(self):
        cache = PagedCache([500, 500])
        cache.read_events = lambda head, since: CacheEvents(
            1, 0, False, [CacheEvent("salt", f"part {n}", 64) for n in range(500)]
        )
        self.assertEqual([0], self.catch_up(cache=cache))


class ChurningCache(PagedCache):
    """Fake cache that reports the eviction of most of its earlier entries."""

    def __init__(self, pages, salt):
        super().__init__(pages)
        self.salt = salt

    def read_events(self, head, since):
        count = self.pages[since] if since < len(self.pages) else 0
        events = []
        for number in range(count):
            part = f"part {since} {number}".encode()
            evicted = f"part {since} {number - 3}".encode()
            events.append(CacheEvent(self.salt, part, 64))
            events.append(CacheEvent(self.salt, evicted, 0))
        return CacheEvents(1, since + bool(count), False, events)


class HistoryTest(CatchUpTest):
    """Peers receive the net result of a cache's event history.

    Guards against broadcasts of the whole history at a simultaneous restart of a large
    fleet: the reader of each cache sent thousands of events, which made 12 MB between
    halls, and half a megabyte for each host to process with half a core while its
    callers waited.
    """

    def published_tokens(self, pages):
        scope = Scope("wall", "model")
        salt = SaltTable("s").salt(scope, 1)
        book = SaltTable("s")
        book.prepare([scope], [1])
        with mock.patch.object(SaltTable, "find", book.find):
            self.catch_up(cache=ChurningCache(pages, salt))
        tokens = {}
        for seen in self.published:
            for change in seen.changes:
                pairs = zip(change.prefixes, change.tokens, strict=True)
                tokens.update(pairs)
        return tokens

    def test_published_changes_do_not_grow_with_the_history(self):
        few = self.published_tokens([500])
        self.published.clear()
        many = self.published_tokens([500] * 8)
        self.assertLessEqual(len(many), len(few) + 3 * 8)
        self.assertEqual(1, len(self.published))

    def test_cached_entries_and_the_last_evictions_are_published(self):
        tokens = self.published_tokens([500])
        self.assertEqual(3, sum(count > 0 for count in tokens.values()))
        lost = sum(count == 0 for count in tokens.values())
        self.assertEqual(MAX_REPORTED_EVICTIONS, lost)


class FirstRolesTest(TestCase):
    """During its warm-up a host reads only the caches of its own hall."""

    def source_names(self, at_seconds):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        scheduler = Scheduler(settings)
        service = Service("s", is_engine=True, link_bits_per_second=1e9)
        tree = Tree(1, {"/": Node()}, Routing(services=[service]))
        scheduler.handle(TreeChanged(TreeView(tree)), 0.0)
        entries = [
            HostEntry(name, "runner", name, f"{name}:1", group="s", incarnation=name)
            for name in ("h", "k")
        ]
        scheduler.handle(HostListRead(HostList(1, entries)), 0.0)
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltTable("s"), None, LivePeers
        )
        reader._list_sources(scheduler, 0.0)
        found = reader._list_sources(scheduler, at_seconds)
        return {source.name for source in found}

    def test_caches_of_other_halls_are_not_read_during_the_warm_up(self):
        self.assertEqual({"h"}, self.source_names(0.5))

    def test_host_without_peers_reads_all_caches_after_the_warm_up(self):
        self.assertEqual({"h", "k"}, self.source_names(1.5))

    def test_role_checks_are_frequent_until_caches_are_known(self):
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltTable("s"), None, LivePeers
        )
        self.assertEqual(STARTUP_SCAN_SECONDS, reader._pause_seconds(None, 10.0))
        self.assertEqual(SCAN_INTERVAL_SECONDS, reader._pause_seconds(None, 14.0))
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltTable("s"), None, LivePeers
        )
        reader._has_caches = True
        self.assertEqual(SCAN_INTERVAL_SECONDS, reader._pause_seconds(None, 10.0))
