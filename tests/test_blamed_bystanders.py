"""Guards against parts that are blamed for the crashes of whole requests."""

import itertools

import attrs
from testtools import TestCase

from rampwick_policy import (
    AttemptFailed,
    CrashTracker,
    CrashUpdateReceived,
    IncarnationKey,
    LoadReported,
    Outcome,
    QuarantineState,
    RequestIdentity,
)
from rampwick_policy._crash_attribution import (
    CRASH_REPORTS_SECONDS,
    MAX_SUSPECTS_COUNT,
)
from rampwick_policy._request_quarantine import UPDATE_BATCH_SECONDS
from rampwick_schema import (
    AboardRequest,
    ClearedRequest,
    CrashUpdate,
    EndedUpstream,
    LoadReport,
)

from .test_crash_attribution import NAMES
from .test_part_attribution import PartHost, exchange

DEADLY, OTHER_DEADLY = b"deadly", b"other deadly"
GUIDE, LETTER = b"guide", b"letter"


class Crashes:
    """A tracker of crashes, one second apart."""

    def __init__(self, sound_parts=()):
        self.tracker = CrashTracker()
        self.at_seconds = 0.0
        self.sound_parts = sound_parts

    def crash(self, **requests):
        """Have an upstream crash under some requests; their values are parts."""
        self.at_seconds += 1.0
        key = IncarnationKey("u", str(self.at_seconds))
        for name, parts in requests.items():
            fingerprint = name.replace("_", " ").encode()
            at_seconds = self.at_seconds
            are_sound = tuple(part in self.sound_parts for part in parts)
            self.tracker.note_crash(
                key, fingerprint, "/w", at_seconds, at_seconds, parts, are_sound
            )
        self.at_seconds += CRASH_REPORTS_SECONDS
        self.tracker.attribute_crashes(self.at_seconds)

    def state(self, key):
        return self.tracker.quarantine_state(key)


class BlamedPartTest(TestCase):
    def test_part_aboard_at_crashes_of_two_requests_delays_no_verdict_on_them(self):
        crashes = Crashes()
        letters = (GUIDE, LETTER)
        for _ in range(2):
            crashes.crash(deadly=(GUIDE,), a=letters)
            crashes.crash(other_deadly=(GUIDE,), b=letters)
        crashes.crash(deadly=(), c=letters)
        self.assertEqual(QuarantineState.STOPPED, crashes.state(DEADLY))
        crashes.crash(other_deadly=(), d=letters)
        self.assertEqual(QuarantineState.STOPPED, crashes.state(OTHER_DEADLY))

    def test_verdict_on_a_part_takes_no_crash_back_from_a_request(self):
        crashes = Crashes()
        crashes.crash(a=(LETTER,), deadly=())
        crashes.crash(b=(LETTER,), deadly=())
        crashes.crash(c=(LETTER,))
        self.assertEqual(QuarantineState.STOPPED, crashes.state(LETTER))
        crashes.crash(deadly=())
        self.assertEqual(QuarantineState.STOPPED, crashes.state(DEADLY))


class SeveralRequestsTest(TestCase):
    """Guards against parts blamed for crashes of requests that are known already."""

    def test_part_at_crashes_of_two_requests_is_not_blamed(self):
        crashes = Crashes()
        crashes.crash(deadly=(), a=(LETTER,))
        crashes.crash(deadly=(), a=(LETTER,))
        crashes.crash(deadly=())
        self.assertEqual(QuarantineState.STOPPED, crashes.state(DEADLY))
        crashes.crash(other_deadly=(), b=(LETTER,))
        crashes.crash(other_deadly=(), b=(LETTER,))
        self.assertEqual(QuarantineState.APART, crashes.state(LETTER))

    def test_part_is_not_blamed_at_the_crash_that_shows_the_request(self):
        crashes = Crashes()
        crashes.crash(deadly=())
        crashes.crash(deadly=(), a=(LETTER,))
        crashes.crash(a=(LETTER,))
        crashes.crash(a=(LETTER,))
        crashes.crash(deadly=(), b=(LETTER,))
        self.assertEqual(QuarantineState.STOPPED, crashes.state(DEADLY))
        self.assertEqual(QuarantineState.APART, crashes.state(LETTER))

    def test_part_is_blamed_beside_a_request_that_crashed_nothing_without_it(self):
        crashes = Crashes()
        for name in ("a", "b", "c"):
            crashes.crash(sound=(), **{name: (LETTER,)})
        self.assertEqual(QuarantineState.STOPPED, crashes.state(b"sound"))
        crashes.crash(d=(LETTER,))
        self.assertEqual(QuarantineState.STOPPED, crashes.state(LETTER))

    def test_part_with_six_crashes_is_blamed_whatever_explains_them(self):
        crashes = Crashes()
        for name, first, second in (("x", "a", "b"), ("y", "c", "d"), ("z", "e", "f")):
            self.assertNotEqual(QuarantineState.STOPPED, crashes.state(LETTER))
            crashes.crash(**{name: ()})
            crashes.crash(**{name: (), first: (LETTER,)})
            crashes.crash(**{name: (), second: (LETTER,)})
        self.assertEqual(QuarantineState.STOPPED, crashes.state(LETTER))


class RankingTest(TestCase):
    def test_request_with_four_crashes_is_stopped_whatever_ran_beside_it(self):
        crashes = Crashes()
        for count in range(1, 5):
            self.assertNotEqual(QuarantineState.STOPPED, crashes.state(DEADLY), count)
            crashes.crash(deadly=(), other_deadly=())
        self.assertEqual(QuarantineState.STOPPED, crashes.state(DEADLY))

    def test_crashes_count_again_once_the_quarantine_that_explained_them_is_lifted(
        self,
    ):
        crashes = Crashes()
        crashes.crash(a=(LETTER,), bystander=())
        crashes.crash(b=(LETTER,), bystander=())
        crashes.crash(c=(LETTER,))
        self.assertEqual(QuarantineState.NONE, crashes.state(b"bystander"))
        crashes.tracker.clear(LETTER, crashes.at_seconds)
        self.assertEqual(QuarantineState.APART, crashes.state(b"bystander"))

    def test_sound_part_under_two_requests_is_not_blamed(self):
        for requests_count, state in (
            (2, QuarantineState.APART),
            (3, QuarantineState.STOPPED),
        ):
            crashes = Crashes(sound_parts={LETTER})
            for number in range(6):
                crashes.crash(**{f"r{number % requests_count}": (LETTER,)})
            self.assertEqual(state, crashes.state(LETTER), requests_count)

    def test_sound_part_that_many_others_hold_is_not_blamed(self):
        for holders_count, state in (
            (0, QuarantineState.STOPPED),
            (2, QuarantineState.APART),
        ):
            crashes = Crashes(sound_parts={GUIDE})
            for number in range(6):
                held = {
                    f"r{number}{other}": (GUIDE,) for other in range(1 + holders_count)
                }
                others = {f"o{number}{other}": () for other in range(8)}
                crashes.crash(**held, **others)
            self.assertEqual(state, crashes.state(GUIDE), holders_count)


class FullTrackerTest(TestCase):
    def test_crash_whose_first_suspects_are_evicted_at_once_is_recorded(self):
        tracker = CrashTracker()
        for number in range(MAX_SUSPECTS_COUNT):
            key = IncarnationKey("u", str(number))
            tracker.note_crash(key, b"r%d" % number, f"/w{number}", 1.0, 1.0)
        parts = tuple(b"p%d" % number for number in range(32))
        self.assertTrue(
            tracker.note_crash(IncarnationKey("v", "1"), b"r", "/w", 2.0, 2.0, parts)
        )
        self.assertEqual(MAX_SUSPECTS_COUNT, len(tracker))


def ended(name, age_seconds, *requests):
    """Return the report of a crash under some requests with their parts."""
    aboard = [
        AboardRequest(fingerprint, "/w", list(parts)) for fingerprint, parts in requests
    ]
    return EndedUpstream(name, "1", age_seconds, aboard)


class LateReportTest(TestCase):
    """Reports of crashes that arrive after an answer cleared a suspect."""

    def test_host_that_connects_hears_which_parts_were_cleared(self):
        host, new = PartHost(), PartHost()
        for letter in (b"a", b"b", b"c"):
            host.crash_under((GUIDE, letter))
            host.serve(GUIDE)
        new.at_seconds = host.at_seconds
        state = host.scheduler.quarantine.initial_state(host.at_seconds)
        new.do(CrashUpdateReceived(state))
        new.advance()
        self.assertEqual(QuarantineState.NONE, host.state(GUIDE))
        self.assertEqual(QuarantineState.NONE, new.state(GUIDE))

    def test_clearing_that_arrives_before_the_crash_is_remembered(self):
        host = PartHost()
        host.at_seconds = 10.0
        cleared = CrashUpdate(cleared=[ClearedRequest(GUIDE, 0.1)])
        host.do(CrashUpdateReceived(cleared))
        reports = [
            ended(f"v-{index}", 0.2 + index, (b"r%d" % index, (GUIDE,)))
            for index in range(3)
        ]
        host.do(CrashUpdateReceived(CrashUpdate(ended=reports)))
        host.advance()
        self.assertEqual(QuarantineState.NONE, host.state(GUIDE))


class RebornUpstreamTest(TestCase):
    """Another upstream that was started at the address of a crashed one."""

    def crash_and_probe(self, **fields):
        """Return the crashes of a request after a probe of its upstream."""
        host = PartHost()
        name, _ = host.send(body=b"deadly")
        upstream = host.sent[name].upstream
        host.crash(name)
        host.advance(2.0)
        host.scheduler.upstreams.due_probes(host.at_seconds)
        host.advance(0.1)
        report = LoadReport(upstream, "m", 1, 2, 0, 0, 8000.0, 60_000, **fields)
        host.do(LoadReported(upstream, report))
        fingerprint = RequestIdentity("/w", "h/x", b"deadly").fingerprint
        suspect = host.scheduler.quarantine.tracker.get(fingerprint)
        return suspect.crashes_count if suspect else 0

    def test_probe_that_names_no_incarnation_takes_no_crash_back(self):
        self.assertEqual(1, self.crash_and_probe(is_identified=False))

    def test_probe_that_names_the_incarnation_does(self):
        self.assertEqual(0, self.crash_and_probe())


class CrashedIncarnationTest(TestCase):
    """Guards against runs at a reborn upstream that count for its earlier life."""

    def suspect(self, host, *upstreams):
        """Have a peer report that upstreams crashed while running the request."""
        fingerprint = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        reports = [
            EndedUpstream(name, name, 0.0, [AboardRequest(fingerprint, "/w", [])])
            for name in upstreams
        ]
        host.do(CrashUpdateReceived(CrashUpdate(ended=reports)))
        host.advance()

    def send(self, host):
        """Send the request; return the upstream that it is sent to, if any."""
        name, _ = host.send(body=DEADLY)
        return host.sent[name].upstream if name in host.sent else ""

    def test_suspect_is_sent_to_no_incarnation_that_a_peer_saw_crash(self):
        for names in itertools.combinations(NAMES, 2):
            host = PartHost()
            self.suspect(host, *names)
            self.assertNotIn(self.send(host), {"", *names})

    def test_suspect_is_sent_to_the_next_incarnation_once_it_is_known(self):
        first, second = NAMES[:2]
        host = PartHost(names=(first, second))
        self.suspect(host, first, second)
        self.assertEqual("", self.send(host))
        host.entries[first] = attrs.evolve(host.entries[first], incarnation="next")
        host.list_upstreams()
        host.advance()
        self.assertEqual([first], [item.upstream for item in host.sent.values()])

    def test_request_without_crashes_is_sent_to_it(self):
        first, second = NAMES[:2]
        host = PartHost(names=(first, second))
        self.suspect(host, first, second)
        self.assertTrue(host.serve(LETTER))

    def test_suspect_waits_for_reports_after_another_incarnation_answered(self):
        for outcome in (Outcome.STALE, Outcome.MISDIRECTED):
            host = PartHost()
            host.attempts_count = 3
            self.suspect(host, "removed-1", "removed-2")
            name, _ = host.send(body=DEADLY)
            first = host.sent[name]
            failed = AttemptFailed(name, first.attempt_id, outcome, "restarted")
            self.assertEqual([], host.do(failed))
            self.suspect(host, first.upstream)
            self.assertIs(first, host.sent[name])
            fingerprint = RequestIdentity("/w", "h/x", DEADLY).fingerprint
            self.assertEqual(QuarantineState.STOPPED, host.state(fingerprint))

    def test_crash_of_an_isolated_request_is_broadcast_at_once(self):
        host = PartHost()
        quarantine = host.scheduler.quarantine
        host.crash(host.send(body=DEADLY)[0])
        self.assertEqual(UPDATE_BATCH_SECONDS, quarantine.batch_seconds())
        self.suspect(host, "removed-1")
        host.crash(host.send(body=DEADLY)[0])
        self.assertEqual(0.0, quarantine.batch_seconds())
        quarantine.take_update(host.at_seconds)
        self.assertEqual(UPDATE_BATCH_SECONDS, quarantine.batch_seconds())


class SoundPartTest(TestCase):
    """A part that any host or workspace had an answer with is presumed sound."""

    def crash_three(self, host, other):
        for letter in (b"a", b"b", b"c"):
            other.at_seconds = host.at_seconds
            host.crash_under((GUIDE, letter))
            exchange(host, other)
            exchange(other, host)
            host.advance()

    def test_answer_at_another_host_counts(self):
        host, other = PartHost(), PartHost()
        other.serve(GUIDE)
        self.crash_three(host, other)
        self.assertEqual(QuarantineState.APART, host.state(GUIDE))

    def test_part_that_no_host_had_answered_is_blamed(self):
        host = PartHost()
        self.crash_three(host, PartHost())
        self.assertEqual(QuarantineState.STOPPED, host.state(GUIDE))
