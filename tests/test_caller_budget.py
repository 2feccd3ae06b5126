"""What callers hold is charged, and room is made of what waits for its caller."""

import sys

import orjson
from prometheus_client import CollectorRegistry, Counter
from testtools import TestCase

from rampwick_policy import (
    CallerBudget,
    FrameAllowance,
    HolderState,
    MemoryHolder,
    PieceMeter,
)
from rampwick_policy._caller_budget import (
    LARGE_REQUEST_BYTES,
    MAX_LATE_SECONDS,
    MIN_BYTES_PER_SECOND,
)
from rampwick_policy._caller_frames import (
    CONTROL_FRAMES_PER_SECOND,
    MAX_CONTROL_FRAMES_COUNT,
    MAX_SMALL_PIECES_COUNT,
    MIN_MEAN_PIECE_BYTES,
)
from rampwick_router._caller_memory import (
    CONNECTION_BYTES,
    LOG_SECONDS,
    CallerBound,
    CallerMemory,
    make_budget,
)
from rampwick_router._caller_server import count_head_lines
from rampwick_router._errors import CallerError
from rampwick_router.entry._call import parsed_bytes
from rampwick_schema import LimitSettings

MAX_BYTES = 100_000
MAX_COUNT = 3


def make(max_bytes=MAX_BYTES, max_count=MAX_COUNT):
    return CallerBudget(max_bytes, max_count)


def receiving(budget, held_bytes, since_seconds=0.0, received_bytes=0):
    """Return a request that arrives."""
    holder = MemoryHolder(
        HolderState.RECEIVING,
        since_seconds,
        received_bytes=received_bytes,
        ends_connection=True,
    )
    budget.add(holder)
    assert budget.resize(holder, held_bytes, since_seconds).is_granted
    return holder


def kept(budget, held_bytes):
    """Return a request that runs."""
    holder = receiving(budget, held_bytes)
    holder.set_state(HolderState.KEPT, 0.0)
    return holder


class BytesTest(TestCase):
    def test_sum_is_bounded(self):
        budget = make()
        kept(budget, 60_000)
        later = MemoryHolder(HolderState.RECEIVING, 0.0)
        budget.add(later)
        self.assertFalse(budget.resize(later, 40_001, 0.0).is_granted)
        self.assertTrue(budget.resize(later, 40_000, 0.0).is_granted)
        self.assertEqual((MAX_BYTES, MAX_BYTES), (budget.held_bytes, budget.peak_bytes))

    def test_room_is_free_again_after_a_request(self):
        budget = make()
        first = kept(budget, MAX_BYTES)
        budget.remove(first)
        budget.remove(first)
        self.assertEqual(0, budget.held_bytes)
        kept(budget, MAX_BYTES)

    def test_large_requests_leave_room_to_small_ones(self):
        budget = make(max_bytes=4 * LARGE_REQUEST_BYTES)
        for _ in range(3):
            kept(budget, LARGE_REQUEST_BYTES)
        large = MemoryHolder(HolderState.RECEIVING, 0.0)
        budget.add(large)
        self.assertFalse(budget.resize(large, LARGE_REQUEST_BYTES, 0.0).is_granted)
        kept(budget, LARGE_REQUEST_BYTES - 1)

    def test_request_that_keeps_its_rate_is_not_ended(self):
        budget = make()
        slow = receiving(budget, 60_000)
        now_seconds = MAX_LATE_SECONDS + 1.0
        slow.received_bytes = int(MIN_BYTES_PER_SECOND)
        later = MemoryHolder(HolderState.RECEIVING, now_seconds)
        budget.add(later)
        refused = budget.resize(later, 60_000, now_seconds)
        self.assertEqual((False, []), (refused.is_granted, refused.evicted))

    def test_request_that_stalls_makes_room(self):
        budget = make()
        stalled = receiving(budget, 60_000, received_bytes=1000)
        later = MemoryHolder(HolderState.RECEIVING, 2.0)
        budget.add(later)
        granted = budget.resize(later, 60_000, 2.0)
        self.assertEqual((True, [stalled]), (granted.is_granted, granted.evicted))
        self.assertTrue(stalled.is_evicted)
        self.assertEqual(60_000, budget.held_bytes)
        # What was ended gets no more.
        self.assertFalse(budget.resize(stalled, 1, 2.0).is_granted)
        budget.remove(stalled)
        self.assertEqual(60_000, budget.held_bytes)

    def test_nothing_is_ended_in_vain(self):
        budget = make()
        idle = MemoryHolder(HolderState.IDLE, 0.0)
        self.assertTrue(budget.add_connection(idle, 10_000, 0.0).is_granted)
        kept(budget, 80_000)
        later = MemoryHolder(HolderState.RECEIVING, 9.0)
        budget.add(later)
        refused = budget.resize(later, 30_000, 9.0)
        self.assertEqual((False, []), (refused.is_granted, refused.evicted))
        self.assertFalse(idle.is_evicted)
        granted = budget.resize(later, 20_000, 9.0)
        self.assertEqual([idle], granted.evicted)


class ConnectionsTest(TestCase):
    def connect(self, budget, since_seconds, state=HolderState.IDLE):
        holder = MemoryHolder(state, since_seconds)
        return holder, budget.add_connection(holder, 1, since_seconds)

    def test_connection_idle_for_longest_makes_room(self):
        budget = make()
        first, *_ = [self.connect(budget, float(second))[0] for second in range(3)]
        _, reservation = self.connect(budget, 3.0)
        self.assertEqual([first], reservation.evicted)
        self.assertEqual(3, budget.connections_count)

    def test_stalled_request_goes_before_a_fresh_connection(self):
        budget = make()
        fresh, _ = self.connect(budget, 9.0)
        stalled, _ = self.connect(budget, 0.0, HolderState.RECEIVING)
        self.connect(budget, 0.0, HolderState.KEPT)
        _, reservation = self.connect(budget, 9.5)
        self.assertEqual([stalled], reservation.evicted)
        self.assertFalse(fresh.is_evicted)

    def test_connection_is_refused_if_all_are_in_use(self):
        budget = make()
        for _ in range(MAX_COUNT):
            self.connect(budget, 0.0, HolderState.KEPT)
        _, reservation = self.connect(budget, 9.0)
        self.assertEqual((False, []), (reservation.is_granted, reservation.evicted))
        self.assertEqual(MAX_COUNT, budget.connections_count)

    def test_stream_of_a_shared_connection_frees_none(self):
        budget = make()
        for _ in range(MAX_COUNT):
            self.connect(budget, 0.0, HolderState.KEPT)
        stream = receiving(budget, 1)
        stream.ends_connection = False
        _, reservation = self.connect(budget, 9.0)
        self.assertEqual((False, []), (reservation.is_granted, reservation.evicted))


class MemoryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 0.0
        self.registry = CollectorRegistry()
        self.ended = []

    def make(self, max_bytes=1_000_000, max_count=10):
        limited = Counter("limited", "Limited.", ("bound",), registry=self.registry)
        return CallerMemory(
            CallerBudget(max_bytes, max_count), limited, lambda: self.now_seconds
        )

    def limited_count(self, bound):
        labels = {"bound": bound.value}
        return self.registry.get_sample_value("limited_total", labels)

    def test_refusal_says_that_the_request_has_not_run(self):
        memory = self.make()
        with memory.open_request(0) as request:
            error = self.assertRaises(CallerError, request.hold_body, 2_000_000)
        self.assertEqual((503, "no"), (error.status, error.run_state.was_run))
        self.assertTrue(error.retry_after_seconds)
        self.assertEqual(1, self.limited_count(CallerBound.MEMORY))
        self.assertEqual(0, memory.budget.held_bytes)

    def test_stalled_request_is_ended_once_others_need_its_room(self):
        memory = self.make()
        with (
            memory.open_request(0) as stalled,
            stalled.receiving(lambda: self.ended.append("stalled")),
        ):
            stalled.hold_body(500_000)
            with memory.open_request(0) as later:
                self.assertRaises(CallerError, later.hold_body, 600_000)
                self.now_seconds = 2.0
                later.hold_body(600_000)
        self.assertEqual(["stalled"], self.ended)
        self.assertTrue(stalled.is_evicted)
        self.assertEqual(0, memory.budget.held_bytes)

    def test_whole_request_is_kept(self):
        memory = self.make()
        with memory.open_request(0) as whole:
            with whole.receiving(lambda: self.ended.append("whole")):
                whole.hold_body(500_000)
            self.now_seconds = 100.0
            with memory.open_request(0) as later:
                self.assertRaises(CallerError, later.hold_body, 600_000)
        self.assertEqual([], self.ended)

    def test_log_lines_are_bounded(self):
        memory = self.make()
        lines = []
        for second in (0.0, 0.1, 0.2, LOG_SECONDS + 0.1):
            self.now_seconds = second
            before = dict(memory._logged_at_seconds)
            memory.note_limited(CallerBound.FRAMES, "connection closed")
            lines.append(before != memory._logged_at_seconds)
        self.assertEqual([True, False, False, True], lines)
        self.assertEqual(4, self.limited_count(CallerBound.FRAMES))

    def test_bounds_follow_from_the_memory_and_the_descriptors(self):
        small = make_budget(LimitSettings(max_files_count=4100))
        self.assertEqual(
            (37_500_000, 1000), (small.max_bytes, small.max_connections_count)
        )
        few = make_budget(LimitSettings(max_files_count=400))
        self.assertEqual(300, few.max_connections_count)
        large = make_budget(
            LimitSettings(process_memory_bytes=552_000_000, max_files_count=8192)
        )
        self.assertEqual(138_000_000, large.max_bytes)
        stated = LimitSettings(
            max_caller_bytes=1_000_000, max_caller_connections_count=7
        )
        budget = make_budget(stated)
        self.assertEqual(
            (1_000_000, 7), (budget.max_bytes, budget.max_connections_count)
        )

    def test_all_connections_leave_room_for_a_large_request(self):
        limits = LimitSettings(max_files_count=4100)
        budget = make_budget(limits)
        idle_bytes = budget.max_connections_count * CONNECTION_BYTES
        self.assertTrue(idle_bytes < budget.max_bytes)
        self.assertTrue(budget.can_hold(6 * limits.max_body_bytes))


class PiecesTest(TestCase):
    def test_body_of_small_pieces_is_bounded(self):
        meter = PieceMeter()
        for _ in range(MAX_SMALL_PIECES_COUNT):
            meter.note(1)
        self.assertFalse(meter.is_exceeded)
        meter.note(1)
        self.assertTrue(meter.is_exceeded)

    def test_body_of_larger_pieces_is_not(self):
        meter = PieceMeter()
        for _ in range(2 * MAX_SMALL_PIECES_COUNT):
            meter.note(MIN_MEAN_PIECE_BYTES)
        self.assertFalse(meter.is_exceeded)


class FramesTest(TestCase):
    def test_frames_without_content_are_bounded(self):
        allowance = FrameAllowance(0.0)
        self.assertTrue(allowance.take(MAX_CONTROL_FRAMES_COUNT, 0.0))
        self.assertFalse(allowance.take(1, 0.0))

    def test_slow_frames_never_exceed(self):
        allowance = FrameAllowance(0.0)
        for second in range(1000):
            frames_count = int(CONTROL_FRAMES_PER_SECOND)
            self.assertTrue(allowance.take(frames_count, float(second)))

    def test_acknowledgements_are_allowed(self):
        allowance = FrameAllowance(0.0)
        for _ in range(10_000):
            allowance.note_sent(MIN_MEAN_PIECE_BYTES)
            self.assertTrue(allowance.take(2, 0.0))

    def test_tiny_frames_that_a_caller_asks_for_allow_nothing(self):
        allowance = FrameAllowance(0.0)
        for _ in range(MAX_CONTROL_FRAMES_COUNT):
            allowance.note_sent(1)
            self.assertTrue(allowance.take(1, 0.0))
        allowance.note_sent(1)
        self.assertFalse(allowance.take(1, 0.0))


def memory_of(value):
    """Return the memory of a parsed value."""
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        return size + sum(memory_of(item) for item in value.values())
    if isinstance(value, list):
        return size + sum(map(memory_of, value))
    return size


class ParsedTest(TestCase):
    def test_estimate_covers_the_memory_of_a_parsed_body(self):
        for value in (
            b'{"a":[' + b"{}," * 50_000 + b"{}]}",
            b'{"a":[' + b"[]," * 50_000 + b"[]]}",
            b'{"a":[' + b"1e9," * 50_000 + b"1]}",
            b'{"a":[' + b'"ab",' * 50_000 + b'""]}',
            b'{"a":[' + b'{"b":1},' * 50_000 + b"1]}",
            b'{"a":"' + b"a" * 100_000 + "\U0001f600".encode() + b'"}',
            b'{"a":"' + b"a" * 100_000 + b'\\ud83d\\ude00"}',
            b'{"a":"' + "\u4e2d".encode() * 100_000 + b'"}',
        ):
            taken_bytes = len(value) + memory_of(orjson.loads(value))
            self.assertTrue(parsed_bytes(value) >= taken_bytes, value[:20])

    def test_text_counts_as_text(self):
        code = b'{"a":"' + b'if (x) { y = [1, 2, \\"3\\"]; }, ' * 130_000 + b'"}'
        self.assertTrue(parsed_bytes(code) < 3.01 * len(code))


class LinesTest(TestCase):
    def test_lines_of_a_body_are_not_counted(self):
        self.assertEqual(2, count_head_lines(b"GET / HTTP/1.1\r\na: b\r\nc: d"))
        self.assertEqual(1, count_head_lines(b"a: b\r\nc: d\r\n\r\n" + b"\n" * 100))
