"""Tests of which hosts read the platform, and of how the others receive its data."""

import contextlib
import math

import anyio
import attrs
import eliot
from testtools import TestCase

from rampwick_adapter._host import make_integration
from rampwick_policy import (
    ConfigurationFollower,
    HostListRead,
    Member,
    MemberTable,
    PeerSummaryReceived,
    Scheduler,
    TargetsReceived,
    TargetWeights,
)
from rampwick_router._assembly import Assembly, Clocks
from rampwick_router._daemon import Daemon
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._configuration import ConfigurationTask
from rampwick_router.control._host_lists import HostListTask
from rampwick_router.control._reader_role import ReaderRole
from rampwick_router.peers._sync import PeerSync
from rampwick_router.upstream import ConnectionPool
from rampwick_schema import (
    HostEntry,
    HostList,
    LeaseRecord,
    RolloutUpdate,
    Summary,
    WeightsTarget,
    parse_settings,
)

from .fakes import FakeApi

#: Monotonic time of daemons that do not run.
NOW_SECONDS = 100.0


class Host:
    """The parts of a host that read and exchange data, without sockets or tasks."""

    def __init__(self, text='[host]\nname = "e"\nhall = "h"\n'):
        self.now_seconds = 100.0
        settings = parse_settings(text, source="t")
        self.scheduler = SchedulerTask(Scheduler(settings), self.read_clock)
        self.follower = ConfigurationFollower()
        self.configuration = ConfigurationTask(
            self.follower, self.scheduler, self.read_clock
        )
        self.hosts = HostListTask(self.scheduler, self.read_clock)
        self.sync = PeerSync(
            self.follower,
            self.configuration,
            self.hosts,
            self.scheduler,
            self.read_clock,
        )

    def read_clock(self):
        return self.now_seconds

    def receive_targets(self, *targets):
        self.scheduler.post(TargetsReceived(targets))


@attrs.define
class RecordingLink:
    """A fake link that records the messages sent."""

    messages: list = attrs.field(factory=list)
    peer: Member | None = None

    def put(self, message):
        self.messages.append(message)


def make_daemon(member):
    """Return a daemon that does not run, with the platform's adapter."""
    text = f'[host]\nname = "{member.name}"\nhall = "{member.hall}"\n'
    settings = parse_settings(text, source="t")
    return Daemon(
        Assembly(
            settings,
            FakeApi(),
            None,
            ConnectionPool(lambda: NOW_SECONDS),
            member.address,
            Clocks(monotonic=lambda: NOW_SECONDS),
            make_integration(settings),
        )
    )


class ReaderRoleTest(TestCase):
    def role(self, is_rollout_controller):
        members = [Member(f"h{number}", "h", f"h{number}:1") for number in range(6)]
        live = {member.name for member in members}
        tables = []
        for member in members:
            table = MemberTable(member)
            table.merge(members)
            tables.append(table)
        table = next(item for item in tables if not item.is_reader(live))
        host = Host()
        host.configuration.confirm(host.now_seconds)
        host.hosts.confirm(host.now_seconds)
        return ReaderRole(
            table,
            lambda: live - {table.own.name},
            lambda: live - {table.own.name},
            lambda: False,
            lambda: host.now_seconds,
            host.configuration,
            host.hosts,
            lambda: is_rollout_controller,
            host.read_clock,
        )

    def test_a_host_with_current_data_from_peers_reads_nothing(self):
        role = self.role(is_rollout_controller=False)
        self.assertFalse(role.must_read_targets())
        self.assertFalse(role.must_read_configuration())

    def test_the_rollout_controller_reads_targets_regardless_of_rank(self):
        # Without faults, the first host to start acquired the lease without being a
        # reader, and received newer weights only after 18 s.
        role = self.role(is_rollout_controller=True)
        self.assertTrue(role.must_read_targets())
        self.assertFalse(role.must_read_configuration())


class SlowLinksTest(TestCase):
    """A fleet in which all links are slow reads the configuration soon after its start.

    Each host left the reading to hosts with fast links, of which there were none. All
    restarted hosts refused requests for 2.5 s: 576 attempts in a run with 18 hosts.
    """

    def readers(self, age_seconds, links_megabits=10.0, knows_others=True):
        """Return how many of 18 hosts in three halls want to read at this age."""
        members = [
            Member(
                f"h{number}", f"hall-{number % 3}", f"h{number}:1", 1, links_megabits
            )
            for number in range(18)
        ]
        count = 0
        for member in members:
            host = Host()
            table = MemberTable(member)
            if knows_others:
                table.merge(members)
            role = ReaderRole(
                table,
                set,
                set,
                lambda: True,
                lambda: -math.inf,
                host.configuration,
                host.hosts,
                lambda: False,
                host.read_clock,
            )
            host.now_seconds += age_seconds
            count += role.must_read_configuration()
        return count

    def test_one_host_of_each_hall_reads_first(self):
        self.assertEqual(0, self.readers(0.1))
        self.assertEqual(3, self.readers(0.5))
        self.assertEqual(3, self.readers(2.0))

    def test_all_hosts_read_eventually_without_data_from_peers(self):
        self.assertEqual(18, self.readers(2.6))

    def test_a_host_without_known_members_waits_longer(self):
        self.assertEqual(0, self.readers(0.5, knows_others=False))
        self.assertEqual(18, self.readers(1.1, knows_others=False))

    def test_hosts_with_fast_links_read_immediately(self):
        self.assertEqual(18, self.readers(0.0, links_megabits=200.0))


class NewLinkTest(TestCase):
    def messages(self, is_holder):
        """Return the types of the messages sent on a newly opened link."""

        async def main():
            daemon = make_daemon(Member("h0", "h", "h0:1"))
            if is_holder:
                lease = daemon.rollout_controller.lease
                record = LeaseRecord("h0", "w", 10.0)
                lease.note_written(record, 7, write_began_seconds=NOW_SECONDS)
            link = RecordingLink(peer=Member("h1", "h", "h1:1"))
            daemon._gossip._on_link_opened(link)
            return [type(message) for message in link.messages]

        return anyio.run(main)

    def test_the_rollout_controller_sends_its_update_immediately(self):
        self.assertIn(RolloutUpdate, self.messages(is_holder=True))
        self.assertNotIn(RolloutUpdate, self.messages(is_holder=False))


class DrainingCandidatesTest(TestCase):
    """Hosts that are shutting down are not candidates for the rollout lease.

    Three of five runners kept old weights for 10 s while no host held the lease. The
    first host in rank was stopped and released the lease, and the second was stopped
    before the first was gone. Both stayed responsive for some seconds, as a planned
    stop requires, and occupied the two candidate ranks, although neither may acquire
    the lease again. The log showed the lease released at 7.0 s, and acquired at 17.0 s
    by the first host after its restart.
    """

    def ranked(self):
        """Return six members in order of rank."""
        members = [Member(f"h{number}", "h", f"h{number}:1") for number in range(6)]
        ranked = {}
        for member in members:
            table = MemberTable(member)
            table.merge(members)
            ranked[table.rank({member.name for member in members})] = member
        return [ranked[rank] for rank in sorted(ranked)]

    def is_third_candidate(self, leaving_count):
        """Return whether the third host is a candidate while the first ones drain."""
        members = self.ranked()
        third = members[2]

        async def main():
            daemon = make_daemon(third)
            daemon._gossip.table.merge(members)
            for rank, member in enumerate(members):
                if member != third:
                    summary = Summary(1, 1, 1, rank < leaving_count, [], [], [])
                    daemon.scheduler.post(
                        PeerSummaryReceived(member.name, "h", 1, summary)
                    )
            return daemon.rollout_controller.is_candidate()

        return anyio.run(main)

    def test_the_third_host_is_a_candidate_while_hosts_of_higher_rank_drain(self):
        found = [self.is_third_candidate(count) for count in (0, 1, 2)]
        self.assertEqual([False, True, True], found)


class LateStartTest(TestCase):
    """A host that starts after a weights change uses the time of that change.

    Prompts started on old weights 11 s after newer ones were set, where 8 s are
    allowed. A host that restarted 4 to 5 s after the change received the new target and
    sent prompts to runners with old weights for another 6.5 s, as if the change had
    just happened. Hosts sent each other the targets, but not since when they apply. All
    eight such prompts came from hosts started after the change, 5.5 to 6.3 s after
    their start.
    """

    SETTINGS = """
[host]
name = "e"
hall = "h"
[placement]
max_outdated_seconds = 8.0
"""

    def host(self):
        host = Host(self.SETTINGS)
        entry = HostEntry(
            "r",
            "runner",
            "h",
            "r:1",
            group="s",
            incarnation="one",
            model="m",
            weights_version=1,
        )
        host.scheduler.post(HostListRead(HostList(1, [entry])))
        return host

    def is_open(self, host, seconds):
        host.now_seconds += seconds
        upstreams = host.scheduler._scheduler.upstreams
        return upstreams.is_eligible(upstreams.get("r"), host.now_seconds)

    def sync(self, sender, receiver):
        request, reply = RecordingLink(), RecordingLink()
        receiver.sync.request_ages(request)
        sender.sync.handle(reply, request.messages[0])
        receiver.sync.handle(request, reply.messages[0])

    def read(self, host, *targets, **options):
        event = TargetsReceived(targets, read_at_seconds=host.now_seconds, **options)
        host.scheduler.post(event)

    def observer(self, *versions):
        """Return a host that observed each version being set, the last one 6 s ago."""
        observer = self.host()
        self.read(observer)
        for version in versions:
            self.read(observer, WeightsTarget("m", version))
            observer.now_seconds += 6.0
        return observer

    def test_age_counts_from_the_change_that_others_observed(self):
        newcomer = self.host()
        self.sync(self.observer(2), newcomer)
        self.assertEqual([True, False], [self.is_open(newcomer, s) for s in (0.3, 0.5)])

    def test_an_older_change_counts_for_runners_that_missed_it(self):
        newcomer = self.host()
        self.sync(self.observer(2, 3), newcomer)
        # Version 3 was set 6 s ago, but the runner has been outdated for 12 s.
        self.assertFalse(self.is_open(newcomer, 0.1))

    def test_a_change_of_unknown_time_is_assumed_at_half_the_allowed_age(self):
        newcomer = self.host()
        self.read(newcomer, WeightsTarget("m", 2))
        self.assertEqual([True, False], [self.is_open(newcomer, s) for s in (2.4, 0.2)])

    def test_an_assumed_time_is_not_sent_and_is_replaced_by_an_observed_one(self):
        assuming, other = self.host(), self.host()
        self.read(assuming, WeightsTarget("m", 2))
        self.read(other)
        self.sync(assuming, other)
        self.assertEqual([True, False], [self.is_open(other, s) for s in (6.4, 0.2)])
        seen = self.observer(2)
        seen.now_seconds -= 5.0
        self.sync(seen, assuming)
        self.assertEqual([True, False], [self.is_open(assuming, s) for s in (5.4, 0.2)])

    def test_a_change_during_a_store_outage_counts_from_the_last_read(self):
        host = self.host()
        self.read(host)
        host.now_seconds += 4.0
        self.read(host, WeightsTarget("m", 2), is_after_failure=True)
        self.assertEqual([True, False], [self.is_open(host, s) for s in (2.4, 0.2)])


class TargetChangeTimeTest(TestCase):
    """Observed times of changes are sent to peers; assumed times are not.

    Assumed times are bounded by the time since the last read or report.
    """

    OLD, NEW = WeightsTarget("m", 1), WeightsTarget("m", 2)

    def weights(self):
        return TargetWeights(assumed_age_seconds=10.0)

    def state(self, weights, now_seconds):
        """Return how long version 1 is outdated, and whether the change is sent."""
        outdated_seconds = weights.outdated_seconds("m", 1, now_seconds)
        reported = [item.weights_version for item in weights.ages(now_seconds)]
        return round(outdated_seconds, 1), 2 in reported

    def test_a_change_between_two_reads_is_observed(self):
        weights = self.weights()
        weights.apply_reading([self.OLD], 100.0, 100.0)
        weights.apply_reading([self.NEW], 103.0, 103.1)
        self.assertEqual((1.0, True), self.state(weights, 104.1))

    def test_a_change_after_a_pause_is_assumed_within_the_pause(self):
        weights = self.weights()
        weights.apply_reading([self.OLD], 100.0, 100.0)
        weights.apply_reading([self.NEW], 109.0, 109.0)
        self.assertEqual((9.0, False), self.state(weights, 109.0))

    def test_a_report_without_a_time_is_no_observation(self):
        weights = self.weights()
        weights.apply_reading([self.OLD], 100.0, 100.0)
        weights.apply([self.NEW], 101.0)
        self.assertEqual((1.0, False), self.state(weights, 101.0))

    def test_an_assumed_time_is_limited_by_the_previous_report(self):
        weights = self.weights()
        weights.apply([self.OLD], 100.0)
        weights.apply([self.NEW], 100.5)
        self.assertEqual((4.5, False), self.state(weights, 100.5))

    def test_a_read_long_ago_is_not_the_time_of_a_change(self):
        weights = self.weights()
        weights.apply_reading([self.OLD], 100.0, 100.0)
        weights.apply([self.OLD], 160.0)
        weights.apply_reading([self.NEW], 160.7, 160.7, is_after_failure=True)
        self.assertEqual((4.7, False), self.state(weights, 160.7))


class ReceivedTargetsTest(TestCase):
    @contextlib.contextmanager
    def capture_logs(self):
        lines = []
        eliot.add_destinations(lines.append)
        try:
            yield lines
        finally:
            eliot.remove_destination(lines.append)

    def test_a_readers_reply_contains_the_targets(self):
        reader, receiver = Host(), Host()
        reader.receive_targets(WeightsTarget("m", 3))
        request, reply = RecordingLink(), RecordingLink()
        receiver.sync.request_ages(request)
        reader.sync.handle(reply, request.messages[0])
        receiver.sync.handle(request, reply.messages[0])
        self.assertEqual([WeightsTarget("m", 3)], receiver.scheduler.targets())

    def test_a_newer_target_is_logged_once_with_its_source(self):
        host = Host()
        # A model that no other test uses: the first log destination receives buffered
        # lines.
        target = WeightsTarget("logged", 3)
        event = TargetsReceived(
            (target,), "read from the platform", read_at_seconds=99.5
        )
        with self.capture_logs() as lines:
            host.scheduler.post(event)
            host.scheduler.post(event)
        (line,) = [item for item in lines if item.get("name") == "logged"]
        self.assertEqual("beliefs: target is version", line["message"])
        self.assertEqual("version 3", line["after"])
        self.assertEqual("read from the platform", line["reason"])

    def test_only_the_hosts_own_reads_have_an_age(self):
        host = Host()
        host.receive_targets(WeightsTarget("m", 3))
        self.assertEqual(math.inf, host.scheduler.targets_age_seconds())
        host.scheduler.post(TargetsReceived((), read_at_seconds=99.5))
        host.scheduler.post(TargetsReceived((), read_at_seconds=99.0))
        self.assertEqual(0.5, host.scheduler.targets_age_seconds())

    def test_older_targets_that_arrive_late_are_ignored(self):
        reader, receiver = Host(), Host()
        reader.receive_targets(WeightsTarget("m", 2))
        receiver.receive_targets(WeightsTarget("m", 3))
        request, reply = RecordingLink(), RecordingLink()
        receiver.sync.request_ages(request)
        reader.sync.handle(reply, request.messages[0])
        receiver.sync.handle(request, reply.messages[0])
        self.assertEqual([WeightsTarget("m", 3)], receiver.scheduler.targets())
