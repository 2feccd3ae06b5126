"""What a host does first: it listens, finds others, and learns what it decides by."""

import random
import socket
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
    CacheSeen,
    Choice,
    Dispatch,
    HostListRead,
    Life,
    Member,
    MemberTable,
    Neighbours,
    SaltBook,
    Scheduler,
    Scope,
    TreeInForce,
    TreeView,
    kept_life,
    life_label,
)
from rampwick_policy._kept import KeptKnowledge
from rampwick_router._dialects import CacheEvent, CacheEvents
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._cache_outbox import CacheOutbox
from rampwick_router.peers._directory import PeerDirectory
from rampwick_router.peers._messages import cache_events
from rampwick_router.upstream._cache_reader import (
    FIRST_ROLE_SECONDS,
    ROLE_SECONDS,
    TOLD_LOSSES_COUNT,
    CacheReaderTask,
    Source,
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

from .fakes import FakeApi


class EarlyListenerTest(TestCase):
    """Callers of a host that still loads wait instead of being refused."""

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

    def test_a_caller_is_let_in_before_anything_is_loaded(self):
        listener = self.bind('[listen]\nentry = "127.0.0.1:0"\n')
        address = listener.getsockname()
        with socket.create_connection(address, timeout=5.0) as caller:
            caller.sendall(b"x")
            listener.setblocking(True)
            accepted, _ = listener.accept()
            with accepted:
                self.assertEqual(b"x", accepted.recv(1))

    def test_what_is_wrong_is_left_to_the_daemon(self):
        taken = self.bind('[listen]\nentry = "127.0.0.1:0"\n')
        _, port = taken.getsockname()
        texts = [
            "not = = toml",
            "",
            '[listen]\nentry = ""\n',
            "[listen]\nentry = 5\n",
            f'[listen]\nentry = "127.0.0.1:{port}"\n',
        ]
        self.assertEqual([None] * len(texts), [self.bind(text) for text in texts])
        self.assertIsNone(bind_early(Path("no such file")))

    def test_a_module_is_loaded_by_its_name(self):
        self.assertIs(socket, load("socket"))


def record(name):
    return encode_record(HostRecord(name, "h", f"{name}:1", "w"))


class DirectoryTest(TestCase):
    """Where all hosts come back at once, the seeds may be the last ones to listen."""

    def test_a_host_that_hears_nobody_looks_for_others_at_once(self):
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
            directory.note_found = lambda: found.extend(
                member.name for member in directory.members()
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(directory.run)
                while not found:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(["k"], found)

    def test_a_reader_records_itself_again_in_a_restored_store(self):
        api = FakeApi()

        async def main():
            directory = PeerDirectory(
                api,
                Member("e", "h", "e:1"),
                lambda: False,
                lambda: True,
                random.Random(1),
            )
            await directory._look(is_first=False)
            api.store = ObjectStore()
            await directory._look(is_first=False)
            self.assertIsNone(await api.get("peers/e"))
            api.era = 1
            await directory._look(is_first=False)
            return await api.get("peers/e")

        self.assertIsNotNone(anyio.run(main))


@attrs.define
class RecordingLink:
    """Stands for a link to a host that has just started."""

    sent: list = attrs.field(factory=list)

    def put(self, message):
        self.sent.append(message)


class GreetingTest(TestCase):
    """A host that starts is told what the caches hold, not only what changes."""

    def mail(self, names, hosts_count=3):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        scheduler = SchedulerTask(Scheduler(settings), lambda: 10.0)
        entry = HostEntry(
            "r", "runner", "h", "r:1", incarnation="r", model="m", weights_version=1
        )
        scheduler.post(HostListRead(HostList(1, [entry])))
        changes = CacheChanges("r/1", (b"x" * 8, b"y" * 8), (2500, 3700))
        scheduler.post(CacheSeen("r", (changes,)))
        table = MemberTable(Member("e", "h", "e:1"))
        table.learn(Member(f"k{n}", "h", f"k{n}:1") for n in range(hosts_count - 1))
        mail = CacheOutbox(table, None, scheduler, set)
        mail.list_read = lambda: names
        return mail

    def test_the_caches_read_here_are_told(self):
        link = RecordingLink()
        self.mail({"r"}).greet(link)
        (seen,) = cache_events(link.sent[0])
        self.assertEqual("r", seen.upstream)
        (changes,) = seen.changes
        told = dict(zip(changes.prefixes, changes.tokens, strict=True))
        self.assertEqual({b"x" * 8: 2500, b"y" * 8: 3700}, told)
        self.assertEqual(life_label(Life("r", 1)), changes.label)

    def test_nothing_is_told_of_caches_that_others_read(self):
        link = RecordingLink()
        self.mail(set()).greet(link)
        self.mail({"other"}).greet(link)
        self.assertEqual([], link.sent)

    def test_in_a_large_fleet_the_changes_alone_are_told(self):
        link = RecordingLink()
        self.mail({"r"}, hosts_count=30).greet(link)
        self.assertEqual([], link.sent)

    def test_of_a_store_only_its_own_word_is_told(self):
        kept = KeptKnowledge()
        kept.note_saved(1, b"x" * 8, 2500, 10.0)
        kept.note_change(2, b"y" * 8, 3700, 10.0)
        (changes,) = kept.contents()
        self.assertEqual(life_label(kept_life(2)), changes.label)
        self.assertEqual((b"y" * 8,), changes.prefixes)


class LongPromptTest(TestCase):
    """Peers are told at once of a prompt that keeps a runner busy for a while."""

    def told(self, missing_tokens):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        task = SchedulerTask(Scheduler(settings), lambda: 10.0)
        told = []
        task.on_long_prompt = partial(told.append, True)
        choice = Choice("r", 0, missing_tokens, 0.0, 0.0, 0.0, True)
        dispatch = Dispatch("q", "q.1", "r", "r:1", "r", 1, choice)
        task._execute(dispatch, 10.0)
        return bool(told)

    def test_only_long_ones_are_news(self):
        self.assertTrue(self.told(3000))
        self.assertFalse(self.told(300))


class PagedCache:
    """Stands for a cache that tells its events a page at a time, the oldest first."""

    def __init__(self, pages):
        self.pages = pages
        self.asked = []

    def events(self, address, since, wait_seconds):
        self.asked.append(since)
        return since

    async def call(self, channels, name, address, request, timeout_seconds):
        await anyio.sleep(0)
        return None, request

    def read_events(self, head, since):
        count = self.pages[since] if since < len(self.pages) else 0
        events = [CacheEvent("salt", f"part {since} {n}", 64) for n in range(count)]
        return CacheEvents(1, since + bool(count), False, events)


class CatchUpTest(TestCase):
    """A host that starts learns all that a cache holds before it waits for more."""

    def catch_up(self, pages=(), cache=None):
        cache = cache or PagedCache(pages)
        own = Member("e", "h", "e:1")
        reader = CacheReaderTask(
            own, self, None, cache, SaltBook("s"), self.told.append, Neighbours
        )
        source = Source("r", "h", "r:1", "r")
        reader._knows_any = True

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
        return cache.asked

    def setUp(self):
        super().setUp()
        self.told = []

    def post(self, event):
        """Take what the reader hands to the scheduler."""

    def test_full_pages_are_asked_for_one_after_another(self):
        self.assertEqual([0, 1, 2], self.catch_up([500, 500, 20]))

    def test_few_events_are_all_there_is(self):
        self.assertEqual([0], self.catch_up([20, 20]))

    def test_a_cache_that_does_not_go_on_is_not_asked_in_a_loop(self):
        cache = PagedCache([500, 500])
        cache.read_events = lambda head, since: CacheEvents(
            1, 0, False, [CacheEvent("salt", f"part {n}", 64) for n in range(500)]
        )
        self.assertEqual([0], self.catch_up(cache=cache))


class ChurningCache(PagedCache):
    """Tells how most of what it ever held gave way to something else."""

    def __init__(self, pages, salt):
        super().__init__(pages)
        self.salt = salt

    def read_events(self, head, since):
        count = self.pages[since] if since < len(self.pages) else 0
        events = []
        for number in range(count):
            part = f"part {since} {number}".encode()
            gone = f"part {since} {number - 3}".encode()
            events.append(CacheEvent(self.salt, part, 64))
            events.append(CacheEvent(self.salt, gone, 0))
        return CacheEvents(1, since + bool(count), False, events)


class HistoryTest(CatchUpTest):
    """Peers are told what came of a cache's history, not the history.

    All hosts of a large fleet came back at once, and each cache's reader told thousands
    of events: 12 MB between halls, and half a megabyte for each host to read at half a
    core while its callers waited.
    """

    def told_prefixes(self, pages):
        scope = Scope("wall", "model")
        salt = SaltBook("s").salt(scope, 1)
        book = SaltBook("s")
        book.prepare([scope], [1])
        with mock.patch.object(SaltBook, "find", book.find):
            self.catch_up(cache=ChurningCache(pages, salt))
        tokens = {}
        for seen in self.told:
            for change in seen.changes:
                pairs = zip(change.prefixes, change.tokens, strict=True)
                tokens.update(pairs)
        return tokens

    def test_what_is_told_does_not_grow_with_the_history(self):
        few = self.told_prefixes([500])
        self.told.clear()
        many = self.told_prefixes([500] * 8)
        self.assertLessEqual(len(many), len(few) + 3 * 8)
        self.assertEqual(1, len(self.told))

    def test_all_that_is_kept_is_told_and_what_went_last(self):
        tokens = self.told_prefixes([500])
        self.assertEqual(3, sum(count > 0 for count in tokens.values()))
        lost = sum(count == 0 for count in tokens.values())
        self.assertEqual(TOLD_LOSSES_COUNT, lost)


class FirstRolesTest(TestCase):
    """In its first moments a host reads its own hall's caches and no others."""

    def wanted(self, at_seconds):
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        scheduler = Scheduler(settings)
        service = Service("s", is_engine=True, link_bits_per_second=1e9)
        tree = Tree(1, {"/": Node()}, Routing(services=[service]))
        scheduler.handle(TreeInForce(TreeView(tree)), 0.0)
        entries = [
            HostEntry(name, "runner", name, f"{name}:1", group="s", incarnation=name)
            for name in ("h", "k")
        ]
        scheduler.handle(HostListRead(HostList(1, entries)), 0.0)
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltBook("s"), None, Neighbours
        )
        reader._list_sources(scheduler, 0.0)
        found = reader._list_sources(scheduler, at_seconds)
        return {source.name for source in found}

    def test_other_halls_are_left_to_their_hosts(self):
        self.assertEqual({"h"}, self.wanted(0.5))

    def test_who_still_hears_nobody_reads_all(self):
        self.assertEqual({"h", "k"}, self.wanted(1.5))

    def test_looks_are_frequent_only_until_caches_are_known(self):
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltBook("s"), None, Neighbours
        )
        self.assertEqual(FIRST_ROLE_SECONDS, reader._pause_seconds(None, 10.0))
        self.assertEqual(ROLE_SECONDS, reader._pause_seconds(None, 14.0))
        reader = CacheReaderTask(
            Member("e", "h", "e:1"), None, None, None, SaltBook("s"), None, Neighbours
        )
        reader._knows_any = True
        self.assertEqual(ROLE_SECONDS, reader._pause_seconds(None, 10.0))
