"""Upstreams that start again under their id, and entries that no upstream wrote."""

import httpx
import orjson
from hypothesis import example, given, settings, strategies as st
from testtools import TestCase

from rampwick_adapter._control import ControlTranslation
from rampwick_adapter._entries import incarnation_name, upstream_id
from rampwick_adapter._objects import ObjectsTranslation
from rampwick_adapter._records import StoreTranslation
from rampwick_adapter._requests import UpstreamTranslation
from rampwick_policy import (
    HostListRead,
    LapseGuard,
    Life,
    Scheduler,
    chain_from_parts,
)
from rampwick_policy._departures import Incarnation
from rampwick_policy._prefix import PromptPart, Scope
from rampwick_router import AnswerHead, AttemptTerms, RoutedCall
from rampwick_schema import (
    DataError,
    HostEntry,
    HostList,
    StewardSettings,
    parse_settings,
)

from .test_adapter import stored

ENTRY = {
    "service": "engine-s",
    "address": "10.0.0.9:8080",
    "zone": "b",
    "version": "v1",
    "slots": 32,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
    "stage": "unified",
    "models": [{"name": "m-1", "version": 4, "adapters": []}],
    "born": 1777752651000,
}

#: Anything that JSON can say, and what some writers say beside it.
ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=True)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def read(data, known_id="i-1"):
    return StoreTranslation().read_upstream(stored(f"servers/{known_id}", data))


class NamesTest(TestCase):
    def test_each_start_has_a_name_of_its_own_and_the_same_id(self):
        first, second = read(ENTRY), read({**ENTRY, "born": 1777752651001})
        self.assertNotEqual(first.name, second.name)
        self.assertEqual(first.name, first.incarnation)
        self.assertEqual(
            ["i-1", "i-1"], [upstream_id(item.name) for item in (first, second)]
        )

    def test_who_does_not_tell_its_start_keeps_its_id(self):
        entry = read({key: ENTRY[key] for key in ENTRY if key != "born"})
        self.assertEqual("i-1", entry.name)
        self.assertEqual("odd@name", upstream_id("odd@name"))
        self.assertEqual("odd@name", upstream_id(incarnation_name("odd@name", 5)))

    def test_the_platform_hears_the_id(self):
        call = RoutedCall("r1", "one.example", "POST", "/a/1", "k", [])
        terms = AttemptTerms("i-1@1777752651000", 4, 1.0, "t1", 2)
        sent = dict(UpstreamTranslation().request_headers(call, terms))
        self.assertEqual(b"i-1", sent[b"x-rampwick-target-instance"])
        probe = ControlTranslation("h", StewardSettings()).probe(read(ENTRY), "/health")
        self.assertIn((b"x-rampwick-target-instance", b"i-1"), probe.headers)
        head = AnswerHead(421, [(b"x-rampwick-instance-id", b"i-1")], True)
        facts = UpstreamTranslation().read_answer(head, "i-1@1777752651000")
        self.assertFalse(facts.is_another)


class ReportTest(TestCase):
    REPORT = {
        "models": [{"name": "m-1", "version": 4, "adapters": []}],
        "busy": False,
        "seq": 2,
        "running": 12,
        "kv_total": 90000,
    }

    def probe(self, **fields):
        body = orjson.dumps({**self.REPORT, **fields})
        control = ControlTranslation("h", StewardSettings())
        return control.read_probe(read(ENTRY), AnswerHead(200, [], True), body)

    def test_a_report_of_the_same_start_is_taken(self):
        self.assertEqual(4, self.probe(born=1777752651000).weights_version)

    def test_a_report_of_another_start_is_no_report(self):
        # Its count of orders and its weights are another life's.
        self.assertRaises(DataError, self.probe, born=1777752659000)
        self.assertRaises(DataError, self.probe, born="1777752651000")
        self.assertRaises(DataError, self.probe)


class RebornTest(TestCase):
    """The next life inherits nothing of the one before."""

    def setUp(self):
        super().setUp()
        text = '[host]\nname = "entry-1"\nhall = "b"\n'
        self.scheduler = Scheduler(parse_settings(text, source="t"))
        self.old, self.new = read(ENTRY), read({**ENTRY, "born": 1777752659000})
        self.chain = chain_from_parts(Scope("w", "m-1"), (PromptPart(b"p", 500),))

    def take(self, version, *entries):
        self.scheduler.handle(HostListRead(HostList(version, list(entries))), 1.0)

    def test_what_was_known_of_the_old_life_is_gone(self):
        self.take(1, self.old)
        old = self.scheduler.upstreams.get(self.old.name)
        life = Life(self.old.name, 4)
        self.scheduler.knowledge.note_prompt(self.old.name, life, self.chain)
        self.scheduler.upstreams.suspect(old, 1.0)
        old.load_version, old.load_until_seconds = 9, 100.0
        paused = Incarnation(old.name, old.incarnation)
        self.scheduler.upstreams.note_pause(paused, 99.0, 1.0)
        self.take(2, self.new)
        new = self.scheduler.upstreams.get(self.new.name)
        self.assertIsNone(self.scheduler.upstreams.get(self.old.name))
        self.assertTrue(self.scheduler.upstreams.is_open(new, 1.0))
        held = self.scheduler.knowledge.cached_tokens(new.name, self.chain)
        self.assertEqual(0, held)

    def test_older_news_bring_the_old_life_back_no_more(self):
        self.take(2, self.new)
        self.take(1, self.old)
        self.assertIsNone(self.scheduler.upstreams.get(self.old.name))

    def test_a_start_during_an_outage_leaves_no_lapsed_entry(self):
        guard = LapseGuard()
        guard.take([self.old], 1, False, 1.0)
        guard.take([self.new], 5, True, 9.0)
        self.assertEqual([self.new], guard.host_list(9.0).hosts)


class EntryTest(TestCase):
    """An entry from another writer names no upstream; the others hold."""

    def test_each_field_is_needed_and_of_its_type(self):
        needed = set(ENTRY) - {"stage", "models", "born"}
        for field in needed:
            data = {key: item for key, item in ENTRY.items() if key != field}
            error = self.assertRaises(DataError, read, data)
            self.assertIn(f"{field} is missing", str(error))
        for field in needed:
            # A figure that is none is written as null.
            for value in ([], {}, True, None, -1, "", float("nan")):
                self.assertRaises(DataError, read, {**ENTRY, field: value})

    def test_models_are_a_list_of_names_and_versions(self):
        for models in ({}, True, -1, "", [[]], [{}], [{"name": "m", "version": 1.5}]):
            self.assertRaises(DataError, read, {**ENTRY, "models": models})
        for models in (None, []):
            self.assertEqual("service", read({**ENTRY, "models": models}).kind)

    def test_a_start_is_a_whole_number(self):
        for born in (1.5, "1777752651000", True, -1, [1], 2**63, None):
            self.assertRaises(DataError, read, {**ENTRY, "born": born})

    def test_a_state_that_is_not_named_is_no_state(self):
        for state in ("READY", "live", "gone", "ready "):
            self.assertRaises(DataError, read, {**ENTRY, "state": state})

    def test_an_address_is_one(self):
        for address in ("10.0.0.9", "10.0.0.9:", "host:80", "10.0.0.9:0", "1.2.3:4"):
            self.assertRaises(DataError, read, {**ENTRY, "address": address})
        for address in ("10.0.0.9:99999", "10.0.0.9:8080 ", "10.0.0.9:٣"):
            self.assertRaises(DataError, read, {**ENTRY, "address": address})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(data=ANYTHING, field=st.sampled_from(sorted(ENTRY)), value=ANYTHING)
    @example(data=[], field="models", value=[[]])
    @example(data={}, field="models", value=[{"name": "m", "version": 1e308}])
    def test_whatever_it_holds_it_is_read_or_refused(self, data, field, value):
        for item in (data, {**ENTRY, field: value}):
            try:
                entry = read(item)
            except DataError:
                continue
            self.assertIsInstance(entry, HostEntry)

    def test_one_that_is_no_text_hides_no_other(self):
        body = (
            b'{"items":[{"metadata":{"name":"i-1","revision":3},"spec":{"a":"\xff"}},'
            b'{"metadata":{"name":"i-2","revision":4},"spec":{"slots":1e999}},'
            b'{"metadata":{"name":"i-3","revision":5},'
            b'"spec":{"slots":99999999999999999999999}},'
            b'{"metadata":{"name":"i-4","revision":6},"spec":'
            + orjson.dumps(ENTRY)
            + b'}],"truncated":false,"store_revision":9}'
        )
        listing = ObjectsTranslation().read_listing(
            "servers/", httpx.Response(200, content=body)
        )
        self.assertEqual(4, len(listing.objects))
        reader = StoreTranslation()
        for stored_object in listing.objects[:3]:
            self.assertRaises(DataError, reader.read_upstream, stored_object)
        self.assertEqual(
            "i-4@1777752651000", reader.read_upstream(listing.objects[3]).name
        )
