"""What a host does first: it listens, finds others, and learns what it decides by."""

import random
import socket
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

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
    Scheduler,
    kept_life,
    life_label,
)
from rampwick_policy._kept import KeptKnowledge
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._cache_mail import CacheMail
from rampwick_router.peers._directory import PeerDirectory
from rampwick_router.peers._news import cache_events
from rampwick_schema import HostEntry, HostList, HostRecord, parse_settings
from rampwick_start import bind_early, load

from .fakes import FakeApi


class EarlyListenerTest(TestCase):
    """Callers of a host that still loads wait instead of being refused."""

    def bind(self, text):
        folder = self.useFixture_folder()
        path = Path(folder) / "host.toml"
        path.write_text(text)
        listener = bind_early(path)
        if listener is not None:
            self.addCleanup(listener.close)
        return listener

    def useFixture_folder(self):
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
        mail = CacheMail(table, None, scheduler, set)
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
        task.note_long_prompt = partial(told.append, True)
        choice = Choice("r", 0, missing_tokens, 0.0, 0.0, 0.0, True)
        dispatch = Dispatch("q", "q.1", "r", "r:1", "r", 1, choice)
        task._carry_out(dispatch, 10.0)
        return bool(told)

    def test_only_long_ones_are_news(self):
        self.assertTrue(self.told(3000))
        self.assertFalse(self.told(300))
