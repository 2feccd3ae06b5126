"""Who reads the platform, and what those who don't are told."""

import contextlib
import math

import attrs
import eliot
from testtools import TestCase

from rampwick_policy import (
    ConfigurationFollower,
    Member,
    MemberTable,
    Scheduler,
    TargetsRead,
)
from rampwick_router._configuration import ConfigurationTask
from rampwick_router._peer_sync import PeerSync
from rampwick_router._reading_role import ReadingRole
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router._upstream_tasks import HostListTask
from rampwick_schema import WeightsTarget, parse_settings


class Host:
    """What of one host takes part in reading, without sockets or tasks."""

    def __init__(self):
        self.now_seconds = 100.0
        settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
        self.scheduler = SchedulerTask(Scheduler(settings), self.read_clock)
        self.follower = ConfigurationFollower()
        self.configuration = ConfigurationTask(
            self.follower, self.scheduler, self.read_clock
        )
        self.hosts = HostListTask(self.scheduler)
        self.sync = PeerSync(
            self.follower,
            self.configuration,
            self.hosts,
            self.scheduler,
            self.read_clock,
        )

    def read_clock(self):
        return self.now_seconds

    def hear(self, *targets):
        self.scheduler.post(TargetsRead(targets))


@attrs.define
class Wire:
    """Stands for a link; keeps what was put on it."""

    messages: list = attrs.field(factory=list)

    def put(self, message):
        self.messages.append(message)


class ReadingRoleTest(TestCase):
    def role(self, is_steward):
        members = [Member(f"h{number}", "h", f"h{number}:1") for number in range(6)]
        live = {member.name for member in members}
        tables = []
        for member in members:
            table = MemberTable(member)
            table.learn(members)
            tables.append(table)
        table = next(item for item in tables if not item.is_reader(live))
        host = Host()
        host.configuration.confirm(host.now_seconds)
        host.hosts.confirm(host.now_seconds)
        return ReadingRole(
            table,
            lambda: live - {table.own.name},
            lambda: False,
            lambda: host.now_seconds,
            host.configuration,
            host.hosts,
            lambda: is_steward,
            host.read_clock,
        )

    def test_a_host_that_is_told_all_reads_nothing(self):
        role = self.role(is_steward=False)
        self.assertFalse(role.wants_targets())
        self.assertFalse(role.wants_configuration())

    def test_the_steward_reads_the_targets_whatever_its_rank(self):
        # Seen on a calm day: the first host to start held the lease, was not among
        # the readers, and nobody told it of newer weights for 18 s.
        role = self.role(is_steward=True)
        self.assertTrue(role.wants_targets())
        self.assertFalse(role.wants_configuration())


class ToldTargetsTest(TestCase):
    @contextlib.contextmanager
    def capture_logs(self):
        lines = []
        eliot.add_destinations(lines.append)
        try:
            yield lines
        finally:
            eliot.remove_destination(lines.append)

    def test_a_readers_answer_tells_the_weights_that_are_wanted(self):
        reader, asker = Host(), Host()
        reader.hear(WeightsTarget("m", 3))
        question, answer = Wire(), Wire()
        asker.sync.ask_ages(question)
        reader.sync.take(answer, question.messages[0])
        asker.sync.take(question, answer.messages[0])
        self.assertEqual([WeightsTarget("m", 3)], asker.scheduler.targets())

    def test_a_newer_target_is_a_line_of_the_log_with_its_source(self):
        host = Host()
        target = WeightsTarget("m", 3)
        event = TargetsRead((target,), "the platform says so", read_at_seconds=99.5)
        with self.capture_logs() as lines:
            host.scheduler.post(event)
            host.scheduler.post(event)
        (line,) = [item for item in lines if item["message"].startswith("beliefs:")]
        self.assertEqual("m", line["name"])
        self.assertEqual("version 3", line["after"])
        self.assertEqual("the platform says so", line["reason"])

    def test_only_the_hosts_own_reading_has_an_age(self):
        host = Host()
        host.hear(WeightsTarget("m", 3))
        self.assertEqual(math.inf, host.scheduler.targets_age_seconds())
        host.scheduler.post(TargetsRead((), read_at_seconds=99.5))
        host.scheduler.post(TargetsRead((), read_at_seconds=99.0))
        self.assertEqual(0.5, host.scheduler.targets_age_seconds())

    def test_older_weights_that_a_reader_tells_late_change_nothing(self):
        reader, asker = Host(), Host()
        reader.hear(WeightsTarget("m", 2))
        asker.hear(WeightsTarget("m", 3))
        question, answer = Wire(), Wire()
        asker.sync.ask_ages(question)
        reader.sync.take(answer, question.messages[0])
        asker.sync.take(question, answer.messages[0])
        self.assertEqual([WeightsTarget("m", 3)], asker.scheduler.targets())
