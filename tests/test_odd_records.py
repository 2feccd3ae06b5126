"""One odd record of another writer makes no other record unreadable."""

import json
import random
import time
from unittest import mock

import anyio
import httpx
import orjson
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_adapter._caches import CacheTranslation
from rampwick_adapter._control import ControlTranslation
from rampwick_adapter._objects import ObjectsTranslation
from rampwick_adapter._records import StoreTranslation
from rampwick_platform import (
    WEIGHTS_KEY,
    EntityTagDialect,
    KindState,
    KindWatcher,
    LeaseStore,
    NestingError,
    StoredObject,
    TreeStore,
    WeightsStore,
    change_key,
    decode_answer,
    decode_json,
    decode_record,
    encode_json,
    read_revision,
    split_answer,
)
from rampwick_platform._record_reading import MAX_DIGITS, MAX_NESTING
from rampwick_policy import LeaseWatcher, Member
from rampwick_router import CacheEvent, ResponseHead
from rampwick_router._native_dialect import NativeCacheDialect
from rampwick_router.control._host_sources import WatchedHostSource
from rampwick_router.peers._directory import PeerDirectory
from rampwick_schema import (
    Change,
    DataError,
    HostEntry,
    HostList,
    HostRecord,
    StewardSettings,
    WeightsTarget,
    unstructure,
)

from .raw_store import RawRecord, RawStore, make_spec
from .scripted import MemoryStore
from .test_adapter import MANIFEST, read_tree

DEPTHS = (60, 300, 980, 990, 1020, 1030, 3000, 20_000, 100_000)
DIGITS = (25, 400, 4301, 5000, 100_000)


def maps(depth):
    return b'{"a":' * depth + b"1" + b"}" * depth


def lists(depth):
    return b"[" * depth + b"]" * depth


def mixed(depth):
    return b'[{"]}":"\\"[{","a":' * (depth // 2) + b"1" + b"}]" * (depth // 2)


def odd_values():
    """Return raw values by a name for messages."""
    found = {f"maps {depth}": maps(depth) for depth in DEPTHS}
    found |= {f"lists {depth}": lists(depth) for depth in DEPTHS}
    found["both 3000"] = mixed(3000)
    found |= {f"{count} digits": b"9" * count for count in DIGITS}
    found["-5000 digits"] = b"-" + b"9" * 5000
    found |= {
        "1e400": b"1e400",
        "-1e400": b"-1e400",
        "NaN": b"NaN",
        "Infinity": b"Infinity",
        "-Infinity": b"-Infinity",
        "not UTF-8": b'"\xff\xfe"',
        "lone surrogate": b'"\\ud800"',
        "control characters": b'"\x01\x1f"',
        "twice": b'{"a":1,"a":2}',
        "a list": b"[1]",
        "null": b"null",
        "true": b"true",
        "negative": b"-1",
        "fraction": b"1.5",
        "port with zeros": b'"10.0.0.1:00000199999"',
        "port of digits": b'"10.0.0.1:' + b"9" * 5000 + b'"',
        "long text": b'"' + b"x" * 300_000 + b'"',
        "brackets in a text": b'"]}\\"]}["',
    }
    return found


def odd_records(name=b'"odd"'):
    """Return records with each odd value in each place, by a name for messages."""
    for title, raw in odd_values().items():
        is_huge = len(raw) >= 100_000
        fields = ("address", "state", "slots", "seq", "born", "models", "unknown")
        for field in fields[-1:] if is_huge else fields:
            yield f"{title} in {field}", RawRecord(name, make_spec(**{field: raw}))
        yield f"{title} as spec", RawRecord(name, raw)
        yield f"{title} as status", RawRecord(name, status=raw)
        yield f"{title} in metadata", RawRecord(name, more_metadata=b',"x":' + raw)
        yield f"{title} as metadata", RawRecord(name, metadata=raw)
        yield f"{title} as revision", RawRecord(name, revision=raw)
        yield f"{title} as record", RawRecord(name, whole=raw)
        yield f"{title} as tombstone", RawRecord(name, tombstone=raw)
    invalid = {"word": b"odd", "number": b"01x", "open text": b"{}"}
    for title, raw in invalid.items():
        yield f"{title} as record", RawRecord(name, whole=raw)


class Reader:
    """A reader of the entries, with the list that it last had."""

    def __init__(self, store):
        self.host_list = HostList(0, [])
        self.problems = []
        self._source = WatchedHostSource(
            store.open_api(),
            StoreTranslation(),
            lambda: True,
            anyio.current_time,
            random.Random(1),
            renewal_seconds=1.2,
        )

    async def run(self):
        await self._source.run(self)

    def offer(self, host_list):
        if host_list.version > self.host_list.version:
            self.host_list = host_list

    def note_transient(self, entries):
        pass

    def confirm(self, at_seconds):
        pass

    def note_records(self, problems):
        pass

    def note_problem(self, problem):
        if problem:
            self.problems.append(problem)

    @property
    def states(self):
        return {item.name: item.state for item in self.host_list.hosts}


async def until(condition, message):
    with anyio.move_on_after(10.0):
        while not condition():
            await anyio.sleep(0.001)
        return
    raise AssertionError(message())


def read(kind, *records, as_events=False):
    """Return the objects of an answer by key."""
    texts = [record.encode(index + 1) for index, record in enumerate(records)]
    if as_events:
        texts = [
            b'{"object":%s,"tombstone":%s}' % (text, record.tombstone or b"false")
            for text, record in zip(texts, records, strict=True)
        ]
    field = b"events" if as_events else b"items"
    content = b'{"%s":[%s],"store_revision":%d}' % (field, b",".join(texts), 9)
    response = httpx.Response(200, content=content)
    listing = ObjectsTranslation().read_listing(kind, response)
    return {item.key: item for item in listing.objects}


def read_upstreams(objects):
    found = {}
    for item in objects.values():
        try:
            found[item.key] = StoreTranslation().read_upstream(item)
        except DataError as error:
            assert len(str(error)) < 1000, len(str(error))
    return found


class OddRecordTest(TestCase):
    """Answers of the store with one odd record among sound ones."""

    def test_sound_entries_are_read_beside_each_odd_one(self):
        sound = [RawRecord(b'"a"'), RawRecord(b'"b"', make_spec(state=b'"draining"'))]
        for title, odd in odd_records():
            for as_events in (False, True):
                objects = read("servers/", sound[0], odd, sound[1], as_events=as_events)
                found = read_upstreams(objects)
                states = {key: entry.state for key, entry in found.items()}
                states.pop("servers/odd", None)
                expected = {"servers/a": "live", "servers/b": "leaving"}
                self.assertEqual(expected, states, title)
                self.assertEqual(1, objects["servers/a"].version, title)
                for item in objects.values():
                    self.assertTrue(0 <= item.version <= 9, title)

    def test_entry_with_an_odd_known_field_names_no_upstream(self):
        for title, raw in odd_values().items():
            if title in ("brackets in a text", "long text"):
                continue
            for field in ("address", "state"):
                spec = make_spec(**{field: raw})
                found = read_upstreams(read("servers/", RawRecord(b'"odd"', spec)))
                self.assertEqual({}, found, (title, field))

    def test_entry_is_read_the_same_beside_an_odd_one_as_alone(self):
        beside = RawRecord(b'"other"', make_spec(unknown=b"NaN"))
        for title, record in odd_records():
            alone = read_upstreams(read("servers/", record))
            both = read_upstreams(read("servers/", record, beside))
            both.pop("servers/other", None)
            self.assertEqual(alone, both, title)

    def test_text_that_utf8_cannot_represent_names_no_upstream(self):
        for field in ("zone", "service", "version"):
            for raw in (b'"\\ud800"', b'"\xff"', b'"' + b"x" * 300_000 + b'"'):
                record = RawRecord(b'"odd"', make_spec(**{field: raw}))
                found = read_upstreams(read("servers/", record, RawRecord(b'"a"')))
                self.assertEqual(["servers/a"], list(found))

    def test_port_is_a_short_number_without_zeros_in_front(self):
        def is_read(port):
            address = b'"10.0.0.1:%s"' % port
            record = RawRecord(b'"odd"', make_spec(address=address))
            return bool(read_upstreams(read("servers/", record)))

        for port in (b"1", b"80", b"8080", b"65535"):
            self.assertTrue(is_read(port), port)
        for port in (
            b"00000199999",
            b"000080",
            b"080",
            b"0",
            b"65536",
            b"199999",
            b"8" * 5000,
            b"-1",
            b"+80",
            b"80 ",
            b" 80",
            b"8_0",
            b"80\\n",
            b"",
            b"80.0",
            "８０".encode(),
            "²".encode(),
        ):
            self.assertFalse(is_read(port), port)

    def test_targets_are_read_beside_each_odd_one(self):
        sound = RawRecord(b'"m"', b'{"model":"m","version":3}')
        for title, raw in odd_values().items():
            for spec in (raw, b'{"model":"odd","version":%s}' % raw):
                objects = read("versions/", RawRecord(b'"odd"', spec), sound)
                target = StoreTranslation().read_target(objects["versions/m"])
                self.assertEqual(WeightsTarget("m", 3), target, title)
                try:
                    StoreTranslation().read_target(objects["versions/odd"])
                except DataError:
                    continue

    def test_single_object_with_an_odd_status_is_read(self):
        for title, raw in odd_values().items():
            content = RawRecord(b'"x"', b'{"a":1}', status=raw).encode(4)
            response = httpx.Response(200, content=content)
            found = ObjectsTranslation().read_object("leases/x", response)
            self.assertEqual((4, b'{"a":1}'), (found.version, found.value), title)

    def test_names_of_any_type_name_no_upstream(self):
        for title, raw in odd_values().items():
            objects = read("servers/", RawRecord(raw), RawRecord(b'"a"'))
            found = set(read_upstreams(objects))
            self.assertIn("servers/a", found, title)
            self.assertTrue(all(key.isascii() for key in objects), title)


class FollowedListTest(TestCase):
    """A reader follows the sound entries while an odd one is there."""

    def play(self, odd, page_size=500):
        """Check one odd record that appears, is there at a start, and goes."""

        async def main():
            store = RawStore(page_size)
            for name in (b"a", b"b", b"c"):
                store.write(RawRecord(b'"%s"' % name))
            readers = [Reader(store)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(readers[0].run)

                async def shows(expected):
                    def is_shown():
                        shown = [reader.states for reader in readers]
                        for states in shown:
                            states.pop("odd", None)
                        return all(states == expected for states in shown)

                    await until(
                        is_shown, lambda: (odd, [item.states for item in readers])
                    )

                await shows(dict.fromkeys("abc", "live"))
                store.write(odd)
                store.write(RawRecord(b'"a"', make_spec(state=b'"draining"')))
                await shows({"a": "leaving", "b": "live", "c": "live"})
                readers.append(Reader(store))
                tasks.start_soon(readers[1].run)
                store.delete(b'"a"')
                store.write(RawRecord(b'"z"'))
                await shows(dict.fromkeys("bcz", "live"))
                store.delete(odd.name)
                store.delete(b'"b"')
                await shows(dict.fromkeys("cz", "live"))
                tasks.cancel_scope.cancel()
            return [problem for reader in readers for problem in reader.problems]

        with mock.patch(
            "rampwick_router.control._host_sources.WATCH_PAUSE_SECONDS", 0.0
        ):
            return anyio.run(main)

    def test_changes_are_followed_beside_odd_entries(self):
        values = odd_values()
        for title in ("maps 3000", "lists 990", "5000 digits", "NaN", "not UTF-8"):
            for record in (
                RawRecord(b'"odd"', make_spec(unknown=values[title])),
                RawRecord(b'"odd"', values[title]),
                RawRecord(b'"odd"', status=values[title]),
                RawRecord(b'"odd"', revision=values[title]),
                RawRecord(b'"odd"', whole=values[title]),
            ):
                self.assertEqual([], self.play(record))

    def test_odd_entry_at_any_place_of_the_pages_hides_no_other(self):
        for name in (b'"Odd"', b'"bodd"', b'"zz"', b'"zz\xff"', b'"zz\\ud800"'):
            for size in (1, 2, 3):
                record = RawRecord(name, make_spec(state=maps(3000)))
                if size > 1 or name in (b'"Odd"', b'"bodd"', b'"zz"'):
                    self.assertEqual([], self.play(record, page_size=size))

    def test_overwritten_entry_is_not_used_further(self):
        async def main(spec, tombstone):
            store = RawStore()
            store.write(RawRecord(b'"a"'))
            store.write(RawRecord(b'"b"'))
            reader = Reader(store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reader.run)
                await until(lambda: len(reader.states) == 2, lambda: reader.states)
                store.write(RawRecord(b'"a"', spec, tombstone=tombstone))
                await until(
                    lambda: reader.states == {"b": "live"}, lambda: reader.states
                )
                store.write(RawRecord(b'"a"'))
                await until(lambda: len(reader.states) == 2, lambda: reader.states)
                tasks.cancel_scope.cancel()

        for spec in (maps(3000), b"9" * 5000, make_spec(state=lists(1000))):
            anyio.run(main, spec, None)
        anyio.run(main, make_spec(), b"[]")


class PagesTest(TestCase):
    """Pages whose last name can't be read."""

    def test_unreadable_page_ends_with_an_error_and_not_in_a_loop(self):
        async def main():
            store = RawStore(page_size=1)
            store.write(RawRecord(b'"a"', metadata=b"7"))
            store.write(RawRecord(b'"b"'))
            problems = []
            watcher = KindWatcher(
                store.open_api(),
                "servers/",
                wait_seconds=0.1,
                on_state=lambda state: None,
                on_problem=problems.append,
                read_clock=anyio.current_time,
                rng=random.Random(1),
            )
            with anyio.move_on_after(0.5):
                await watcher.run()
            return problems, store.listings_count

        problems, listings_count = anyio.run(main)
        self.assertIn("page after", problems[0])
        self.assertTrue(listings_count < 20)


class NativeListingTest(TestCase):
    """Rampwick's own object API."""

    def read(self, *items):
        content = b'{"version":9,"objects":[%s]}' % b",".join(items)
        response = httpx.Response(200, content=content)
        return EntityTagDialect().read_listing("k/", response).objects

    def test_sound_objects_are_read_beside_each_odd_one(self):
        sound = b'{"key":"k/a","version":3,"value":"{}"}'
        for title, raw in odd_values().items():
            for odd in (
                raw,
                b'{"key":%s,"version":3,"value":"{}"}' % raw,
                b'{"key":"k/odd","version":%s,"value":"{}"}' % raw,
                b'{"key":"k/odd","version":3,"value":%s}' % raw,
            ):
                first, found = self.read(odd, sound)
                self.assertEqual(StoredObject("k/a", 3, b"{}"), found, title)
                self.assertTrue(0 <= first.version <= 9, title)
                first.key.encode()

    def test_value_of_a_record_is_no_more_than_invalid(self):
        for title, raw in odd_values().items():
            try:
                decode_record(StoredObject("k", 1, raw), HostEntry)
            except DataError:
                continue
            self.fail(title)


class OtherPlacesTest(TestCase):
    """Other records of several writers that are read together."""

    REPORT = b'{"models":[{"name":"m","version":1}],"busy":false,"seq":2,"running":1,'

    def runner(self):
        return HostEntry("i-1", "runner", "a", "10.0.0.1:80", incarnation="i-1")

    def test_report_is_read_beside_the_odd_run_of_a_caller(self):
        control = ControlTranslation("host", StewardSettings())
        for title, raw in odd_values().items():
            body = (
                self.REPORT + b'"kv_total":9,"state":"draining","runs":[[%s,1]]}' % raw
            )
            report = control.read_probe(self.runner(), ResponseHead(200, []), body)
            self.assertEqual((1, 9), (report.running_count, report.cache_tokens), title)
            signals = control.read_signals(ResponseHead(200, []), body)
            self.assertTrue(signals.is_leaving, title)

    def test_odd_figures_of_a_report_are_errors_of_it_or_bounded(self):
        control = ControlTranslation("host", StewardSettings())
        for title, raw in odd_values().items():
            body = self.REPORT + b'"kv_total":%s}' % raw
            try:
                report = control.read_probe(self.runner(), ResponseHead(200, []), body)
            except DataError as error:
                self.assertTrue(len(str(error)) < 1000, title)
                continue
            self.assertTrue(0 <= report.cache_tokens <= 2**62, title)

    def test_cache_events_are_read_beside_each_odd_one(self):
        sound = b'[2,"+","s","part",5,"m"]'
        for title, raw in odd_values().items():
            for odd in (raw, b'[1,"+",%s,"x",1,"m"]' % raw, b'[1,"+","s",%s,1]' % raw):
                body = b'{"epoch":1,"next_page_token":4,"lost":false,"events":[%s]}'
                found = CacheTranslation().read_events(
                    ResponseHead(200, []), body % b",".join((odd, sound))
                )
                self.assertEqual(CacheEvent("s", b"part", 5), found.events[-1], title)

    def test_native_cache_events_are_read_beside_each_odd_one(self):
        for title, raw in odd_values().items():
            body = b'{"epoch":1,"next_number":4,"has_gap":false,"events":[%s]}'
            found = NativeCacheDialect().read_events(
                ResponseHead(200, []), body % (raw + b',["s","part",5]')
            )
            self.assertEqual(CacheEvent("s", b"part", 5), found.events[-1], title)

    def test_routes_are_read_beside_each_odd_part(self):
        for title, raw in odd_values().items():
            for odd in (raw, b'{"name":"odd","host":%s}' % raw):
                spec = orjson.dumps(MANIFEST).replace(
                    b'"routes":[', b'"unknown":%s,"routes":[%s,' % (raw, odd)
                )
                objects = read("config/", RawRecord(b'"main"', spec))
                tree = StoreTranslation().read_tree(KindState(objects, 1, 0.0))
                expected = read_tree(MANIFEST)
                self.assertEqual(expected.revision, tree.revision, title)
                names = {route.name for route in tree.routing.routes}
                self.assertEqual({"r-1", "r-2"}, names - {"odd"}, title)
                self.assertEqual(expected.nodes, tree.nodes, title)

    def test_targets_of_the_command_line_hide_no_other(self):
        async def main(raw):
            store = MemoryStore()
            value = (
                b'{"write_id":"x","targets":[%s,{"model":"m","weights_version":3}]}'
                % raw
            )
            store.objects[WEIGHTS_KEY] = StoredObject(WEIGHTS_KEY, 1, value)
            return await WeightsStore(store).load()

        for title, raw in odd_values().items():
            found = anyio.run(main, raw)
            self.assertEqual([WeightsTarget("m", 3)], found, title)

    def test_host_list_is_read_beside_each_odd_entry(self):
        sound = orjson.dumps(unstructure(self.runner()))

        async def main(raw):
            def answer(request):
                content = b'{"version":4,"hosts":[%s,%s]}' % (raw, sound)
                return httpx.Response(200, content=content)

            api = RawStore().open_api()
            api._client = httpx.AsyncClient(
                transport=httpx.MockTransport(answer), base_url="http://store"
            )
            return await api.read_hosts()

        for title, raw in odd_values().items():
            found = anyio.run(main, raw)
            self.assertEqual(HostList(4, [self.runner()]), found, title)

    def test_text_that_no_message_carries_is_an_error_of_its_record(self):
        plain = unstructure(self.runner())
        for field in ("name", "hall", "address", "model"):
            for text in ("\ud800", "a\udcff"):
                value = json.dumps({**plain, field: text}).encode()
                self.assertRaises(
                    DataError, decode_record, StoredObject("k", 1, value), HostEntry
                )
        value = json.dumps({**plain, "hall": "žilina"}).encode()
        found = decode_record(StoredObject("k", 1, value), HostEntry)
        self.assertEqual("žilina", found.hall)

    def test_peer_records_are_read_beside_each_odd_one(self):
        async def main(raw):
            store = MemoryStore()
            record = HostRecord(host="b", hall="x", peer_address="c", write_id="w")
            store.objects["peers/a"] = StoredObject("peers/a", 1, raw)
            store.write("peers/b", record)
            directory = PeerDirectory(
                store,
                Member("a", "x", "d"),
                lambda: True,
                lambda: True,
                random.Random(1),
            )
            with anyio.move_on_after(0.05):
                await directory.run()
            await directory._write_record()
            await directory._read_records()
            return {item.name for item in directory.members()}

        for raw in (maps(3000), b"9" * 5000, b"NaN", b"[]", b"\xff"):
            self.assertEqual({"a", "b"}, anyio.run(main, raw))

    def test_lease_with_an_odd_record_is_acquired_after_its_time(self):
        async def main(raw):
            store = MemoryStore()
            store.version = 1
            store.objects["lease"] = StoredObject("lease", 1, raw)
            watcher = LeaseWatcher("a", duration_seconds=3.0)
            lease = LeaseStore(store, "lease")
            found = []
            for now in (100.0, 102.9, 103.1):
                found.append(await lease.try_acquire(watcher, lambda now=now: now))
            return found, watcher.version

        for raw in (maps(3000), b"9" * 5000, b"NaN", b"[]", b"\xff"):
            self.assertEqual(([False, False, True], 2), anyio.run(main, raw))

    def test_object_of_another_key_hides_no_change_of_the_tree(self):
        async def main(raw):
            store = MemoryStore()
            for key in ("config/changes/x", "config/changes/", "config/changes/-1"):
                store.objects[key] = StoredObject(key, 1, raw)
            store.write(
                change_key(1),
                Change(
                    revision=1, write_id="w", author="x", made_at_seconds=0.0, edits=[]
                ),
            )
            return (await TreeStore(store).load()).tree.revision

        for raw in (maps(3000), b"{}"):
            self.assertEqual(1, anyio.run(main, raw))


class DecoderTest(TestCase):
    """Decoding within bounds that depend on no interpreter."""

    def test_deep_values_are_read_as_null(self):
        for make in (maps, lists):
            for depth in (MAX_NESTING - 1, MAX_NESTING + 1, *DEPTHS):
                found = decode_json(b'{"x":%s,"y":[1]}' % make(depth))
                self.assertEqual([1], found["y"])
                found, level = found["x"], 0
                while isinstance(found, dict | list) and found:
                    found = found["a"] if isinstance(found, dict) else found[0]
                    level += 1
                self.assertTrue(level <= MAX_NESTING)

    def test_values_within_the_bound_are_unchanged(self):
        for raw in (maps(MAX_NESTING), lists(MAX_NESTING), b'["[[[[{{{{"]' * 1):
            self.assertEqual(json.loads(raw), decode_json(raw))

    def test_long_numbers_are_very_large(self):
        self.assertEqual(int("9" * MAX_DIGITS), decode_json(b"9" * MAX_DIGITS))
        for count in (MAX_DIGITS + 1, 5000, 100_000):
            self.assertEqual(float("inf"), decode_json(b"9" * count))
            self.assertEqual(float("-inf"), decode_json(b"-" + b"9" * count))

    def test_invalid_text_is_a_value_error(self):
        for raw in (b"", b"{", b"[" * 100_000, b"]" * 100, b"{]", b"x", b'"', b"[1,]"):
            self.assertRaises(ValueError, decode_json, raw)
            self.assertRaises(ValueError, decode_answer, raw, ("items",))
            self.assertRaises(ValueError, split_answer, raw, ("items",))
        self.assertRaises(ValueError, decode_answer, b"[]", ("items",))

    def test_encoder_refuses_what_is_nested_too_deeply(self):
        value = decode_json(lists(MAX_NESTING))
        for _ in range(100_000):
            value = [value]
        self.assertRaises(NestingError, encode_json, value)
        self.assertEqual(b'["\\ud800"]', encode_json(["\ud800"]))

    def test_revisions_are_whole_numbers_of_the_store(self):
        self.assertEqual(7, read_revision("7"))
        for value in (-1, 2**63, 10**30, "9" * 5000, "-1", None, [], 1.5, True):
            self.assertRaises(ValueError, read_revision, value)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.recursive(
                st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=6),
                lambda inner: (
                    st.lists(inner, max_size=4)
                    | st.dictionaries(st.text(max_size=3), inner, max_size=4)
                ),
                max_leaves=20,
            ),
            max_size=5,
        ),
        st.sampled_from([None, 1]),
        st.booleans(),
    )
    def test_split_answers_equal_decoded_ones(self, items, indent, is_ascii):
        data = {"before": {"x": [1]}, "items": items, "after": "]}"}
        text = json.dumps(data, indent=indent, ensure_ascii=is_ascii)
        self.assertEqual(data, split_answer(text.encode(), ("items",)))

    def test_time_is_linear_in_the_size_of_invalid_text(self):
        """A search that starts anew at each byte takes minutes."""
        long = 300_000
        for raw in (
            b"[" * 100 + b"x" * long,
            b"[" * 100 + b'"' + b"x" * long,
            b"[" * 100 + b"]" * 100 + b"x" * long,
            b"[" * 100 + b"]" * 100 + b'"' + b"x" * long,
            b'{"items":[[[[[["' + b"x" * long,
            b'{"items":[[[[[[' + b"x " * long,
            b'{"items":[' + b'{"a":"' * 50_000,
            b'{"items":[' + b'["",' * 70_000 + b'"',
            b'{"items":[[[[[' + b"[1]," * 70_000 + b'"',
            b'{"items":[' + b'[1,"\\",[2,[3,[4,' * 20_000,
        ):
            started = time.process_time()
            self.assertRaises(ValueError, decode_json, raw)
            self.assertRaises(ValueError, decode_answer, raw, ("items",))
            self.assertTrue(time.process_time() - started < 3.0, raw[:20])

    def test_time_is_linear_in_the_size(self):
        def seconds(count):
            records = b",".join(RawRecord(b'"a"').encode(1) for _ in range(count))
            content = b'{"items":[%s,{"x":%s}]}' % (records, maps(20 * count))
            started = time.process_time()
            decode_answer(content, ("items",))
            return time.process_time() - started

        seconds(100)
        small = min(seconds(1000) for _ in range(3))
        self.assertTrue(min(seconds(8000) for _ in range(3)) < 40 * small)
