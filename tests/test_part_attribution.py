"""Attribution of crashes to parts of prompts, beside whole requests."""

import attrs
from testtools import TestCase

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    CrashTracker,
    CrashUpdateReceived,
    Dispatch,
    IncarnationKey,
    LoadReported,
    QuarantineState,
    Refuse,
    RequestIdentity,
)
from rampwick_policy._attribution_rules import (
    QUARANTINE_CRASHES_COUNT,
    SOUND_PART_CRASHES_COUNT,
    MostCrashes,
)
from rampwick_policy._crash_attribution import MAX_SUSPECTS_COUNT
from rampwick_policy._crash_updates import (
    INITIAL_STATE_SECONDS,
    CrashFact,
    state_facts,
    to_update,
)
from rampwick_policy._sound_parts import MAX_SOUND_PARTS_COUNT, SoundParts
from rampwick_policy._suspects import (
    FIRST_PROBE_SECONDS,
    Crash,
    CrashedRequest,
    Suspect,
)
from rampwick_schema import CrashUpdate, decode_message, encode_message

from .test_crash_attribution import NAMES, Host

GUIDE, LETTER, OTHER_LETTER, DEADLY = b"guide", b"letter", b"other", b"deadly"

#: Time between two requests; the crashes of a part must not all be simultaneous.
STEP_SECONDS = 0.4


class PartHost(Host):
    """A host with requests whose prompts have parts."""

    def send(self, *parts, body=None):
        """Send a request that no other is alike; return its id and the actions."""
        body = b"own %d" % self.count if body is None else body
        name, actions = self.arrive(body, parts=parts)
        if name not in self.sent:
            actions = [*actions, *self.advance()]
        return name, actions

    def crash_under(self, *requests):
        """Have one upstream crash while it runs requests with these parts."""
        names = [self.send(*parts)[0] for parts in requests]
        self.place(names, self.sent[names[0]].upstream)
        self.crash(*names)
        self.advance(STEP_SECONDS)
        return names

    def place(self, names, upstream):
        """Have an incarnation of an upstream run some requests; return its key."""
        self.count += 1
        for name in names:
            item = self.scheduler._requests.get(name)
            item.upstream, item.incarnation = upstream, f"{upstream}.{self.count}"

    def serve(self, *parts):
        """Send a request and answer it; return whether it was sent at once."""
        name, _ = self.send(*parts)
        if name not in self.sent:
            return False
        self.answer(name)
        return True

    def revive(self):
        """Have all upstreams answer a probe."""
        self.advance(2.0)
        self.scheduler.upstreams.due_probes(self.at_seconds)
        self.advance(0.1)
        for name in self.entries:
            self.do(LoadReported(name, None))

    def suspect(self, *parts):
        """Record two crashes of removed upstreams under some parts."""
        for index in range(2):
            self.scheduler.quarantine.tracker.note_crash(
                IncarnationKey("removed", str(index)),
                b"%d" % index,
                "/w",
                self.at_seconds,
                self.at_seconds,
                parts,
            )

    def state(self, key):
        return self.scheduler.quarantine.tracker.quarantine_state(key)


def quarantine_part(host):
    """Have a part crash three upstreams, under different requests."""
    for _ in range(3):
        host.crash_under((GUIDE, DEADLY))
        host.serve(GUIDE, LETTER)


class PartTest(TestCase):
    def test_part_of_different_requests_is_quarantined_after_three_crashes(self):
        host = PartHost()
        quarantine_part(host)
        _, (refusal,) = host.send(OTHER_LETTER, DEADLY)
        self.assertEqual("ends_upstreams", refusal.reason)
        self.assertIsNone(refusal.retry_after_seconds)
        self.assertIn(f"part {DEADLY.hex()}", refusal.evidence)
        self.assertTrue(host.serve(GUIDE, LETTER))

    def test_request_that_comes_again_is_quarantined_without_its_parts(self):
        host = PartHost()
        for _ in range(3):
            name, _ = host.send(GUIDE, LETTER, body=b"deadly")
            host.crash(name)
            host.advance(STEP_SECONDS)
        identity = RequestIdentity("/w", "h/x", b"deadly")
        self.assertEqual(QuarantineState.STOPPED, host.state(identity.fingerprint))
        self.assertTrue(host.serve(GUIDE, LETTER))

    def test_several_parts_and_a_request_are_told_apart(self):
        host = PartHost()
        host.serve(GUIDE, LETTER)
        for _ in range(3):
            for letter in (DEADLY, OTHER_LETTER):
                host.crash_under((GUIDE, letter))
            name, _ = host.send(GUIDE, LETTER, body=b"deadly")
            host.place([name], host.sent[name].upstream)
            host.crash(name)
            host.advance(STEP_SECONDS)
            host.revive()
            host.serve(GUIDE, LETTER)
        identity = RequestIdentity("/w", "h/x", b"deadly")
        for key in (DEADLY, OTHER_LETTER, identity.fingerprint):
            self.assertEqual(QuarantineState.STOPPED, host.state(key))
        self.assertTrue(host.serve(GUIDE, LETTER))

    def test_wide_part_without_answers_is_spared_if_a_narrow_one_explains_as_much(self):
        host = PartHost()
        host.crash_under((GUIDE, LETTER))
        for _ in range(3):
            host.crash_under((GUIDE, DEADLY))
        self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))
        self.assertNotEqual(QuarantineState.STOPPED, host.state(GUIDE))

    def test_wide_part_is_quarantined_if_no_narrow_one_explains_its_crashes(self):
        host = PartHost()
        for letter in (b"a", b"b", b"c"):
            host.crash_under((DEADLY, letter))
        self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))
        self.assertTrue(host.serve(GUIDE, b"a"))

    def test_simultaneous_crashes_of_all_upstreams_quarantine_no_part(self):
        host = PartHost()
        names = [host.send(GUIDE, LETTER)[0] for _ in NAMES]
        for name, upstream in zip(names, NAMES, strict=True):
            host.place([name], upstream)
        for name in names:
            host.crash(name)
        host.advance(STEP_SECONDS)
        self.assertEqual(QuarantineState.APART, host.state(GUIDE))
        host.revive()
        self.assertTrue(host.serve(GUIDE, LETTER))
        self.assertEqual(QuarantineState.NONE, host.state(GUIDE))

    def test_part_that_was_answered_before_needs_six_crashes(self):
        host = PartHost()
        host.serve(GUIDE, DEADLY)
        for count in range(1, 7):
            self.assertNotEqual(QuarantineState.STOPPED, host.state(DEADLY), count)
            host.crash_under((GUIDE, DEADLY))
            host.serve(GUIDE, LETTER)
        self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))

    def test_bystanders_are_released_once_the_part_is_known(self):
        host = PartHost()
        host.crash_under((GUIDE, DEADLY))
        for count in range(2):
            name, _ = host.send(GUIDE, LETTER, body=b"sound")
            deadly, _ = host.send(GUIDE, DEADLY)
            host.place([name, deadly], NAMES[count])
            host.crash(name, deadly)
            host.advance(STEP_SECONDS)
        identity = RequestIdentity("/w", "h/x", b"sound")
        self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))
        self.assertEqual(QuarantineState.NONE, host.state(identity.fingerprint))


class AnswerTest(TestCase):
    """What clears a part, and what doesn't."""

    def test_only_success_clears_the_parts(self):
        for status, state in (
            (200, QuarantineState.NONE),
            (400, QuarantineState.APART),
            (500, QuarantineState.APART),
        ):
            host = PartHost()
            for _ in range(2):
                host.crash_under((GUIDE, DEADLY))
            name, _ = host.send(GUIDE, DEADLY)
            host.answer(name, status=status)
            self.assertEqual(state, host.state(DEADLY), status)

    def test_answer_that_a_crash_may_have_ended_clears_once_its_upstream_is_live(self):
        host = PartHost()
        host.suspect(DEADLY)
        host.advance()
        name, _ = host.send(GUIDE, DEADLY)
        host.answer(name, has_certain_end=False)
        self.assertEqual(QuarantineState.APART, host.state(DEADLY))
        host.revive()
        self.assertEqual(QuarantineState.NONE, host.state(DEADLY))

    def test_answer_that_a_crash_ended_counts_as_broken(self):
        host = PartHost()
        for _ in range(2):
            host.crash_under((GUIDE, DEADLY))
        cut, _ = host.send(GUIDE, DEADLY)
        other, _ = host.send(GUIDE, LETTER)
        host.place([cut, other], "u-0")
        host.answer(cut, has_certain_end=False)
        host.crash(other)
        host.advance(STEP_SECONDS)
        self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))

    def test_part_on_which_an_upstream_writes_for_long_is_cleared(self):
        host = PartHost()
        name, _ = host.send(GUIDE, LETTER)
        attempt = host.sent[name].attempt_id
        host.do(AttemptAccepted(name, attempt))
        host.do(AttemptDelivered(name, attempt))
        host.suspect(GUIDE)
        self.assertEqual(QuarantineState.APART, host.state(GUIDE))
        host.revive()
        self.assertEqual(QuarantineState.NONE, host.state(GUIDE))


class VerdictTest(TestCase):
    """What happens to requests under way, and how a wrong quarantine ends."""

    def begin(self, host, *parts):
        name, _ = host.send(*parts)
        attempt = host.sent[name].attempt_id
        host.do(AttemptAccepted(name, attempt))
        host.do(AttemptDelivered(name, attempt))
        return name

    def test_requests_under_way_are_refused_but_for_answers_that_have_begun(self):
        host = PartHost()
        begun = self.begin(host, GUIDE, DEADLY)
        for _ in range(2):
            host.crash_under((GUIDE, DEADLY))
        waiting, _ = host.send(GUIDE, DEADLY)
        last, _ = host.send(GUIDE, DEADLY)
        host.place([last], "u-5")
        host.crash(last)
        actions = host.advance(STEP_SECONDS)
        refused = [item.request_id for item in actions if type(item) is Refuse]
        self.assertEqual([waiting], refused)
        host.answer(begun)
        self.assertEqual(QuarantineState.NONE, host.state(DEADLY))

    def test_begun_stream_that_breaks_is_not_resumed(self):
        host = PartHost()
        begun = self.begin(host, GUIDE, DEADLY)
        lifecycle = host.scheduler._requests.get(begun).lifecycle
        lifecycle.is_resumable, lifecycle.max_attempts_count = True, 3
        quarantine_part(host)
        actions = host.crash(begun)
        self.assertEqual([], [item for item in actions if type(item) is Dispatch])
        (refusal,) = (item for item in actions if type(item) is Refuse)
        self.assertEqual("ends_upstreams", refusal.reason)

    def test_one_probe_ends_a_wrong_quarantine(self):
        host = PartHost()
        quarantine_part(host)
        host.advance(FIRST_PROBE_SECONDS - 5.0)
        self.assertFalse(host.serve(GUIDE, DEADLY))
        host.advance(5.0)
        self.assertTrue(host.serve(GUIDE, DEADLY))
        self.assertEqual(QuarantineState.NONE, host.state(DEADLY))

    def test_failed_probe_is_not_repeated_soon(self):
        host = PartHost()
        quarantine_part(host)
        host.advance(FIRST_PROBE_SECONDS)
        probe, _ = host.send(GUIDE, DEADLY)
        self.assertIn(probe, host.sent)
        other, _ = host.send(GUIDE, DEADLY)
        self.assertNotIn(other, host.sent)
        (refusal,) = (item for item in host.crash(probe) if type(item) is Refuse)
        self.assertEqual("ends_upstreams", refusal.reason)
        host.advance(1.5 * FIRST_PROBE_SECONDS)
        self.assertFalse(host.serve(GUIDE, DEADLY))
        host.advance(FIRST_PROBE_SECONDS)
        self.assertTrue(host.serve(GUIDE, DEADLY))

    def test_hosts_share_the_probes(self):
        sent = 0
        for number in range(40):
            host = PartHost()
            host.scheduler.peers.known_hosts_count = 6
            quarantine_part(host)
            host.count = 100 * number
            host.advance(FIRST_PROBE_SECONDS)
            sent += host.serve(GUIDE, DEADLY)
        self.assertTrue(0 < sent < 20, sent)


def exchange(sender, receiver):
    """Have a host receive the update of another one, if there is one."""
    update = sender.scheduler.quarantine.take_update(sender.at_seconds)
    if update is not None:
        message = encode_message(update)
        receiver.do(CrashUpdateReceived(decode_message(message[4:])))


class PeerTest(TestCase):
    """Hosts share what they know of parts."""

    def test_one_crash_on_each_of_three_hosts_quarantines_a_part(self):
        hosts = [PartHost(), PartHost(), PartHost()]
        for sender in hosts:
            for host in hosts:
                host.at_seconds = max(item.at_seconds for item in hosts) + STEP_SECONDS
            name, _ = sender.send(GUIDE, DEADLY, body=b"%d" % id(sender))
            sender.place([name], f"u-{hosts.index(sender)}")
            sender.crash(name)
            for receiver in hosts:
                if receiver is not sender:
                    receiver.at_seconds = sender.at_seconds
            update = sender.scheduler.quarantine.take_update(sender.at_seconds)
            for receiver in hosts:
                if receiver is not sender:
                    receiver.do(CrashUpdateReceived(update))
        for host in hosts:
            host.advance()
            self.assertEqual(QuarantineState.STOPPED, host.state(DEADLY))

    def test_newly_connected_host_receives_crashes_and_quarantined_parts(self):
        old, new, later = PartHost(), PartHost(), PartHost()
        quarantine_part(old)
        old.crash_under((GUIDE, LETTER))
        state = old.scheduler.quarantine.initial_state(old.at_seconds)
        new.do(CrashUpdateReceived(state))
        self.assertEqual(QuarantineState.STOPPED, new.state(DEADLY))
        self.assertIsNotNone(new.scheduler.quarantine.tracker.get(LETTER))
        state = new.scheduler.quarantine.initial_state(new.at_seconds)
        later.do(CrashUpdateReceived(state))
        self.assertEqual(QuarantineState.STOPPED, later.state(DEADLY))

    def test_probe_of_one_host_postpones_those_of_others(self):
        one, two = PartHost(), PartHost()
        quarantine_part(one)
        exchange(one, two)
        one.advance(FIRST_PROBE_SECONDS)
        one.send(GUIDE, DEADLY)
        two.at_seconds = one.at_seconds
        exchange(one, two)
        self.assertFalse(two.serve(GUIDE, DEADLY))

    def test_update_of_an_earlier_release_without_parts_is_understood(self):
        host = PartHost()
        quarantine_part(host)
        update = host.scheduler.quarantine.initial_state(host.at_seconds)
        for ended in update.ended:
            ended.aboard[:] = [
                attrs.evolve(item, parts=[], are_sound=[]) for item in ended.aboard
            ]
        receiver = PartHost()
        receiver.do(CrashUpdateReceived(CrashUpdate(ended=update.ended)))
        self.assertEqual(QuarantineState.NONE, receiver.state(DEADLY))
        self.assertEqual(3, len(receiver.scheduler.quarantine.tracker))


class BoundsTest(TestCase):
    def test_parts_in_huge_numbers_leave_those_of_others_alone(self):
        tracker = CrashTracker()
        for index in range(3):
            tracker.note_crash(
                IncarnationKey("u", str(index)),
                b"%d" % index,
                "/quiet",
                0.0,
                0.0,
                (b"p",),
            )
        for number in range(MAX_SUSPECTS_COUNT // 8):
            parts = tuple(b"%d.%d" % (number, index) for index in range(32))
            key = IncarnationKey("v", str(number))
            tracker.note_crash(key, b"r%d" % number, "/loud", 1.0, 1.0, parts)
        self.assertEqual(MAX_SUSPECTS_COUNT, len(tracker))
        self.assertEqual(3, tracker.get(b"p").crashes_count)

    def test_suspects_of_a_full_workspace_with_several_crashes_are_kept(self):
        tracker = CrashTracker()
        for number in range(MAX_SUSPECTS_COUNT):
            key = IncarnationKey("v", str(number))
            parts = (b"deadly",) if number < 2 else (b"part %d" % number,)
            tracker.note_crash(key, b"r%d" % number, "/loud", 1.0, 1.0, parts)
        self.assertEqual(2, tracker.get(b"deadly").crashes_count)

    def test_sound_parts_are_bounded_by_workspace(self):
        parts = SoundParts()
        parts.note_answered("/quiet", [b"p"], 0.0)
        for number in range(2 * MAX_SOUND_PARTS_COUNT):
            parts.note_answered("/loud", [b"%d" % number], 1.0)
        self.assertEqual(MAX_SOUND_PARTS_COUNT, len(parts))
        self.assertEqual((True,), parts.are_sound([b"p"], 2.0))
        self.assertEqual((), parts.are_sound([b"0"], 2.0))
        self.assertEqual((), parts.are_sound([b"p"], 1000.0))

    def test_answer_of_one_workspace_counts_for_all_that_share_the_part(self):
        parts = SoundParts()
        parts.note_answered("/one", [b"p"], 0.0)
        parts.note_answered("/other", [b"p"], 200.0)
        self.assertEqual(1, len(parts))
        self.assertEqual((False, True), parts.are_sound([b"q", b"p"], 400.0))


class RuleTest(TestCase):
    """The rule, on suspects of the same crashes."""

    def suspects(self, count, *, was_sound=False):
        """Return a part and a request with it, with some crashes each."""
        part = Suspect(b"part", "/w", part_index=0, was_sound=was_sound)
        request = Suspect(b"r0", "/w")
        for index in range(count):
            crash = Crash(
                float(index), {b"r%d" % index: CrashedRequest("/w", (b"part",))}
            )
            part.crashes[IncarnationKey("u", str(index))] = crash
        request.crashes[IncarnationKey("u", "0")] = part.crashes[
            IncarnationKey("u", "0")
        ]
        return part, request

    def test_three_crashes_are_needed_and_six_of_a_part_that_was_sound(self):
        for was_sound, count in (
            (False, QUARANTINE_CRASHES_COUNT),
            (True, SOUND_PART_CRASHES_COUNT),
        ):
            part, request = self.suspects(count, was_sound=was_sound)
            self.assertTrue(MostCrashes().is_responsible(part, [request]))
            part, request = self.suspects(count - 1, was_sound=was_sound)
            self.assertFalse(MostCrashes().is_responsible(part, [request]))

    def test_rival_with_as_many_crashes_of_other_requests_prevents_a_verdict(self):
        part, _ = self.suspects(3)
        rival = Suspect(b"other", "/w", crashes=dict(part.crashes))
        self.assertFalse(MostCrashes().is_responsible(part, [rival]))


class FactsTest(TestCase):
    def test_crashes_of_one_incarnation_share_an_entry_with_their_parts(self):
        key = IncarnationKey("u", "1")
        facts = [
            CrashFact(key, b"r%d" % index, "/w", 1.0, (b"p",), (True,))
            for index in range(2)
        ]
        (ended,) = to_update(facts, 3.0).ended
        self.assertEqual(2.0, ended.age_seconds)
        self.assertEqual([b"r0", b"r1"], [item.fingerprint for item in ended.aboard])
        self.assertEqual(
            ([b"p"], [True]), (ended.aboard[0].parts, ended.aboard[0].are_sound)
        )

    def test_state_has_no_old_crashes(self):
        tracker = CrashTracker()
        tracker.note_crash(IncarnationKey("u", "1"), b"r", "/w", 0.0, 0.0, (b"p",))
        self.assertEqual(1, len(list(state_facts(tracker, 1.0))))
        self.assertEqual([], list(state_facts(tracker, INITIAL_STATE_SECONDS)))
