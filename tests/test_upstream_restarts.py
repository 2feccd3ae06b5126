"""Upstreams that restart under the same id, and malformed upstream entries."""

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
    CacheGeneration,
    ExpiredEntryGuard,
    HostListRead,
    Scheduler,
    chain_from_parts,
)
from rampwick_policy._prefix import PromptPart, Scope
from rampwick_policy._shutdown_announcements import Incarnation
from rampwick_router import AttemptTerms, ResponseHead, RoutedCall
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

#: Any JSON value, and values that some writers produce beyond JSON.
ANY_VALUE = st.recursive(
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
    def test_each_start_has_its_own_name_and_the_same_id(self):
        first, second = read(ENTRY), read({**ENTRY, "born": 1777752651001})
        self.assertNotEqual(first.name, second.name)
        self.assertEqual(first.name, first.incarnation)
        self.assertEqual(
            ["i-1", "i-1"], [upstream_id(item.name) for item in (first, second)]
        )

    def test_upstream_without_a_start_time_is_named_by_its_id(self):
        entry = read({key: ENTRY[key] for key in ENTRY if key != "born"})
        self.assertEqual("i-1", entry.name)
        self.assertEqual("odd@name", upstream_id("odd@name"))
        self.assertEqual("odd@name", upstream_id(incarnation_name("odd@name", 5)))

    def test_the_id_is_sent_to_the_platform(self):
        call = RoutedCall("r1", "one.example", "POST", "/a/1", "k", [])
        terms = AttemptTerms("i-1@1777752651000", 4, 1.0, "t1", 2)
        sent = dict(UpstreamTranslation().request_headers(call, terms))
        self.assertEqual(b"i-1", sent[b"x-rampwick-target-instance"])
        probe = ControlTranslation("h", StewardSettings()).probe(read(ENTRY), "/health")
        self.assertIn((b"x-rampwick-target-instance", b"i-1"), probe.headers)
        head = ResponseHead(421, [(b"x-rampwick-instance-id", b"i-1")])
        facts = UpstreamTranslation().read_response(head, "i-1@1777752651000")
        self.assertFalse(facts.is_other_incarnation)


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
        return control.read_probe(read(ENTRY), ResponseHead(200, []), body)

    def test_report_of_the_same_start_is_accepted(self):
        self.assertEqual(4, self.probe(born=1777752651000).weights_version)

    def test_report_of_another_start_is_rejected(self):
        # Its order count and its weights belong to another incarnation.
        self.assertRaises(DataError, self.probe, born=1777752659000)
        self.assertRaises(DataError, self.probe, born="1777752651000")
        self.assertRaises(DataError, self.probe)


class RestartTest(TestCase):
    """A new incarnation inherits no state from the previous one."""

    def setUp(self):
        super().setUp()
        text = '[host]\nname = "entry-1"\nhall = "b"\n'
        self.scheduler = Scheduler(parse_settings(text, source="t"))
        self.old, self.new = read(ENTRY), read({**ENTRY, "born": 1777752659000})
        self.chain = chain_from_parts(Scope("w", "m-1"), (PromptPart(b"p", 500),))

    def apply_list(self, version, *entries):
        self.scheduler.handle(HostListRead(HostList(version, list(entries))), 1.0)

    def test_state_of_the_old_incarnation_is_dropped(self):
        self.apply_list(1, self.old)
        old = self.scheduler.upstreams.get(self.old.name)
        generation = CacheGeneration(self.old.name, 4)
        self.scheduler.cache_index.note_prompt(self.old.name, generation, self.chain)
        self.scheduler.upstreams.suspect(old, 1.0)
        old.load_version, old.load_until_seconds = 9, 100.0
        paused = Incarnation(old.name, old.incarnation)
        self.scheduler.upstreams.note_pause(paused, 99.0, 1.0)
        self.apply_list(2, self.new)
        new = self.scheduler.upstreams.get(self.new.name)
        self.assertIsNone(self.scheduler.upstreams.get(self.old.name))
        self.assertTrue(self.scheduler.upstreams.is_eligible(new, 1.0))
        held = self.scheduler.cache_index.cached_tokens(new.name, self.chain)
        self.assertEqual(0, held)

    def test_older_list_does_not_restore_the_old_incarnation(self):
        self.apply_list(2, self.new)
        self.apply_list(1, self.old)
        self.assertIsNone(self.scheduler.upstreams.get(self.old.name))

    def test_restart_during_an_outage_leaves_no_expired_entry(self):
        guard = ExpiredEntryGuard()
        guard.apply([self.old], 1, False, 1.0)
        guard.apply([self.new], 5, True, 9.0)
        self.assertEqual([self.new], guard.host_list(9.0).hosts)


class EntryTest(TestCase):
    """A malformed entry is rejected and does not affect other entries."""

    def test_each_field_is_required_and_has_its_type(self):
        required = set(ENTRY) - {"stage", "models", "born"}
        for field in required:
            data = {key: item for key, item in ENTRY.items() if key != field}
            error = self.assertRaises(DataError, read, data)
            self.assertIn(f"{field} is missing", str(error))
        for field in required:
            # NaN is encoded as null.
            for value in ([], {}, True, None, -1, "", float("nan")):
                self.assertRaises(DataError, read, {**ENTRY, field: value})

    def test_models_are_a_list_of_names_and_versions(self):
        for models in ({}, True, -1, "", [[]], [{}], [{"name": "m", "version": 1.5}]):
            self.assertRaises(DataError, read, {**ENTRY, "models": models})
        for models in (None, []):
            self.assertEqual("service", read({**ENTRY, "models": models}).kind)

    def test_start_time_is_an_integer(self):
        for born in (1.5, "1777752651000", True, -1, [1], 2**63, None):
            self.assertRaises(DataError, read, {**ENTRY, "born": born})

    def test_unknown_states_are_rejected(self):
        for state in ("READY", "live", "gone", "ready "):
            self.assertRaises(DataError, read, {**ENTRY, "state": state})

    def test_address_is_an_ip_address_with_a_port(self):
        for address in ("10.0.0.9", "10.0.0.9:", "host:80", "10.0.0.9:0", "1.2.3:4"):
            self.assertRaises(DataError, read, {**ENTRY, "address": address})
        for address in ("10.0.0.9:99999", "10.0.0.9:8080 ", "10.0.0.9:٣"):
            self.assertRaises(DataError, read, {**ENTRY, "address": address})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(data=ANY_VALUE, field=st.sampled_from(sorted(ENTRY)), value=ANY_VALUE)
    @example(data=[], field="models", value=[[]])
    @example(data={}, field="models", value=[{"name": "m", "version": 1e308}])
    def test_any_value_is_read_or_rejected(self, data, field, value):
        for item in (data, {**ENTRY, field: value}):
            try:
                entry = read(item)
            except DataError:
                continue
            self.assertIsInstance(entry, HostEntry)

    def test_entry_that_is_not_valid_text_does_not_hide_others(self):
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
