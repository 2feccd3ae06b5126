"""Unexpected errors that one upstream, peer or stored object causes cost only that."""

import json
from contextlib import contextmanager
from unittest import mock

import anyio
import httpx
import orjson
from testtools import TestCase

from rampwick_adapter._caches import CacheTranslation
from rampwick_adapter._control import ControlTranslation
from rampwick_adapter._objects import ObjectsTranslation
from rampwick_adapter._records import StoreTranslation
from rampwick_adapter._requests import UpstreamTranslation
from rampwick_platform import KindState, KindView
from rampwick_policy import HealthState
from rampwick_router import AttemptTerms, CacheEvent, ResponseHead
from rampwick_router._dialects import ControlRequest
from rampwick_router._errors import AttemptError
from rampwick_router._native_dialect import (
    NativeCacheDialect,
    NativeControlDialect,
    NativeUpstreamDialect,
)
from rampwick_router._unexpected_errors import unexpected_error_counts
from rampwick_router._unread_records import MAX_LOGGED_RECORDS, UnreadRecords
from rampwick_router.peers._gossip import GossipTask
from rampwick_router.upstream._connection_pool import ConnectionPool
from rampwick_router.upstream._control import call_upstream
from rampwick_schema import DataError, HostEntry, StewardSettings, WeightsTarget

from .bench import run_two_hosts, until
from .case import ScenarioCase
from .scripted import NativeDecoder, ScriptedUpstream, list_upstream, run_routed
from .test_adapter import stored

ODD = "odd"


class OddError(Exception):
    """An error that no task expects."""


@contextmanager
def failing(cls, method, is_odd):
    """Have a method fail for the calls whose arguments ``is_odd`` selects."""
    original = getattr(cls, method)

    def replaced(self, *args, **options):
        if is_odd(*args):
            raise OddError(method)
        return original(self, *args, **options)

    with mock.patch.object(cls, method, replaced):
        yield


def run_beside_odd(is_sound=None, setup=None):
    """Serve at a sound upstream while an odd one is listed; return what was served."""

    async def main():
        served = []
        with anyio.fail_after(30.0):
            async with run_routed(
                {"labels": ["sound", ODD]}, probe_interval_seconds=0.1
            ) as (host, servers):
                if setup is not None:
                    await setup(host, servers)
                await anyio.sleep(0.5)
                for number in range(40):
                    view = await host.call("/open/x", request_id=f"r{number}")
                    served.append(view.status)
                if is_sound is not None:
                    is_sound(host)
        return served

    return anyio.run(main)


class UnexpectedErrorTest(TestCase):
    """Each background task goes on beside the upstream that fails it."""

    def test_probe_that_fails_unexpectedly_ends_no_host(self):
        with failing(
            NativeControlDialect, "probe", lambda entry, path: entry.name == ODD
        ):
            served = run_beside_odd()
        self.assertIn(200, served)
        self.assertEqual(40, len(served))

    def test_answer_to_a_probe_that_fails_unexpectedly_ends_no_host(self):
        with failing(
            NativeControlDialect,
            "read_probe",
            lambda entry, head, body: entry.name == ODD,
        ):
            served = run_beside_odd()
        self.assertIn(200, served)

    def test_attempt_that_fails_unexpectedly_leaves_its_upstream_in_use(self):
        """A request that no attempt survives must not take all upstreams along."""
        statuses, states = [], []

        async def setup(host, servers):
            for number in range(4):
                view = await host.call("/again/x", request_id=f"odd{number}")
                statuses.append(view.status)

        def is_sound(host):
            found = host.daemon.scheduler._scheduler.upstreams
            states.extend(item.health.state for item in found)

        with failing(
            NativeUpstreamDialect,
            "request_headers",
            lambda call, terms: call.request_id.startswith("odd"),
        ):
            served = run_beside_odd(is_sound, setup)
        self.assertEqual({500}, set(statuses))
        self.assertEqual({200}, set(served))
        self.assertEqual({HealthState.UP}, set(states))

    def test_entry_that_fails_unexpectedly_hides_no_other(self):
        with failing(
            NativeDecoder,
            "read_upstream",
            lambda item: item.key == "upstreams/broken",
        ):

            async def setup(host, servers):
                host.store.write(
                    "upstreams/broken", HostEntry("x", "service", "a", "b")
                )
                added = servers["sound"]
                host.store.delete(f"upstreams/{ODD}")
                list_upstream(host.store, added, "labels")
                await anyio.sleep(0.6)

            def is_sound(host):
                names = {
                    item.name for item in host.daemon.scheduler._scheduler.upstreams
                }
                self.assertEqual({"sound"}, names)

            served = run_beside_odd(is_sound, setup)
        self.assertEqual({200}, set(served))

    def test_target_that_fails_unexpectedly_hides_no_other(self):
        with failing(
            NativeDecoder, "read_target", lambda item: item.key == "targets/odd"
        ):

            async def setup(host, servers):
                host.store.write("targets/odd", WeightsTarget("odd", 1))
                host.store.write("targets/m", WeightsTarget("m", 3))
                await anyio.sleep(0.5)

            def is_sound(host):
                targets = host.daemon.scheduler.targets()
                self.assertEqual([WeightsTarget("m", 3)], targets)

            run_beside_odd(is_sound, setup)


def head(status=200, **headers):
    fields = [
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    ]
    return ResponseHead(status, fields)


def encode(data):
    return json.dumps(data).encode()


def entry(name):
    return HostEntry(
        name, "service", "a", "10.0.0.1:80", group="plain", incarnation=name
    )


ENTRY = {
    "service": "plain",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 1,
}


def listing(*names, raw=b""):
    """Return a listing of entries as the store sends it; names are raw JSON."""
    spec = orjson.dumps(ENTRY)
    items = [
        b'{"metadata":{"name":"%s","revision":%d},"spec":%s}' % (name, index + 1, spec)
        for index, name in enumerate(names)
    ]
    body = b'{"store_revision":9,"items":[' + b",".join(
        [*items, *([raw] if raw else [])]
    )
    return mock.Mock(content=body + b"]}")


def read_names(*names, raw=b""):
    """Return the upstreams in a listing, and the keys of entries without one."""
    view = KindView()
    view.apply_listing(
        ObjectsTranslation().read_listing("servers/", listing(*names, raw=raw))
    )
    found, refused = [], []
    for item in KindState(view.objects, 1, 0.0).objects.values():
        try:
            found.append(StoreTranslation().read_upstream(item).name)
        except DataError:
            refused.append(item.key)
    return found, refused


class UnreadRecordsTest(TestCase):
    """What an operator sees of records that can't be read."""

    def test_unread_entry_is_in_the_status_the_metrics_and_once_in_the_log(self):
        async def main():
            async with (
                run_routed({"labels": ["sound"]}) as (host, _),
                httpx.AsyncClient(base_url=f"http://{host.admin_address}") as client,
            ):

                async def status():
                    await anyio.sleep(0.8)
                    return (await client.get("/status")).json()

                found = [await status()]
                key = "upstreams/odd"
                host.store.write(key, {"name": 7})
                # Other entries change, so that the list is read again and again.
                for number in range(5):
                    host.store.write("upstreams/more", {"name": number})
                    await anyio.sleep(0.35)
                found.append(await status())
                metrics = (await client.get("/metrics")).text
                host.store.delete(key)
                host.store.delete("upstreams/more")
                found.append(await status())
                return found, metrics

        lines = []
        with mock.patch(
            "rampwick_router._unread_records.ComponentLogger._write",
            lambda self, level, text, fields: lines.append((text, fields)),
        ):
            (before, during, after), metrics = anyio.run(main)
        empty = {"count": 0, "names": []}
        self.assertEqual(empty, before["unread_records"]["upstreams"])
        unread = during["unread_records"]["upstreams"]
        self.assertEqual(2, unread["count"])
        self.assertEqual({"upstreams/odd", "upstreams/more"}, set(unread["names"]))
        named = [item for item in during["degraded"] if "upstreams/odd" in item]
        self.assertEqual(1, len(named), during["degraded"])
        self.assertTrue(during["list_ages_seconds"]["upstreams"] < 5.0)
        self.assertTrue(during["host_list_version"] > before["host_list_version"])
        self.assertEqual(empty, after["unread_records"]["upstreams"])
        self.assertIn('rampwick_unread_records{kind="upstreams"} 2.0', metrics)
        self.assertIn('rampwick_list_age_seconds{kind="upstreams"}', metrics)
        odd = [text for text, fields in lines if fields.get("entry") == "upstreams/odd"]
        self.assertEqual(
            ["invalid upstream entry", "invalid upstream entry: readable or gone"], odd
        )

    def test_many_unread_records_take_few_lines(self):
        lines = []
        log = mock.Mock(
            problem=lambda text, **fields: lines.append(fields),
            info=lambda text, **fields: lines.append(fields),
        )
        unread = UnreadRecords(log, "invalid", "entry")
        errors = {f"k/{number}" + "x" * 1000: "odd" for number in range(1000)}
        for _ in range(3):
            unread.update(errors)
        self.assertEqual(MAX_LOGGED_RECORDS, len(lines))
        self.assertEqual({1000}, {fields["unread_count"] for fields in lines})
        self.assertTrue(all(len(fields["entry"]) <= 200 for fields in lines))
        self.assertEqual(20, len(unread.names(20)))
        unread.update({})
        self.assertEqual(2 * MAX_LOGGED_RECORDS, len(lines))


class UnsendableRequestTest(TestCase):
    """A request that HTTP can't represent, for whatever reason."""

    HEADERS = ((b"x-a", b"a\nb"),)

    def test_request_is_an_internal_error_and_no_passed_deadline(self):
        async def main():
            async with run_routed({"labels": ["a"]}) as (host, servers):
                with mock.patch.object(
                    NativeUpstreamDialect,
                    "request_headers",
                    side_effect=lambda call, terms: list(self.HEADERS),
                ):
                    view = await host.call("/once/x")
                return view.status, len(servers["a"].requests)

        self.assertEqual((500, 0), anyio.run(main))

    def test_control_call_fails_as_such(self):
        async def main():
            upstream = ScriptedUpstream("a")
            async with (
                anyio.create_task_group() as tasks,
                ConnectionPool(anyio.current_time) as pool,
            ):
                await tasks.start(upstream.serve)
                request = ControlRequest("probe", "GET", "/", self.HEADERS)
                try:
                    await call_upstream(pool, "a", upstream.address, request, 5.0)
                except AttemptError as error:
                    return str(error)
                finally:
                    tasks.cancel_scope.cancel()

        self.assertIn("probe", anyio.run(main))


class NamesOfUpstreamsTest(TestCase):
    """Names of entries of any writer: carried as they are, or no upstream."""

    def test_name_that_is_not_utf8_names_no_upstream(self):
        found, refused = read_names(b"i-1", b"i-k\xf4\xf2-1", b"i-2")
        self.assertEqual(["i-1", "i-2"], found)
        self.assertEqual(1, len(refused))
        refused[0].encode()

    def test_name_of_a_lone_surrogate_names_no_upstream(self):
        found, refused = read_names(b"i-1", b"i-\\ud800", b"i-2")
        self.assertEqual((["i-1", "i-2"], 1), (found, len(refused)))

    def test_control_characters_in_an_entry_hide_no_other(self):
        found, refused = read_names(b"i-1", b"i-\x01", b"i-2")
        self.assertEqual(["i-1", "i-2"], found)
        raw = b'{"metadata":{"name":"i-3","revision":7},"spec":"\x02\x1f"}'
        self.assertEqual((["i-1"], ["servers/i-3"]), read_names(b"i-1", raw=raw))

    def test_name_that_no_header_can_carry_names_no_upstream(self):
        for name in ("", " i", "i ", "a\nb", "a\rb", "a\0b", "a\x7f", "\t"):
            self.assertRaises(
                DataError,
                StoreTranslation().read_upstream,
                stored(f"servers/{name}", ENTRY),
            )

    def test_name_outside_latin1_is_carried_as_it_is(self):
        name = "i-ő-1"
        self.assertEqual(([name], []), read_names(name.encode()))
        control = ControlTranslation("host", StewardSettings())
        request = control.probe(entry(name), "/health")
        self.assertIn((b"x-rampwick-target-instance", name.encode()), request.headers)
        for reported in (name.encode(),):
            answer = head(200, x_rampwick_instance_id=reported)
            self.assertIs(None, control.read_probe(entry(name), answer, b""))
        self.assertRaises(
            DataError,
            control.read_probe,
            entry(name),
            head(200, x_rampwick_instance_id="i-ó-1".encode()),
            b"",
        )
        terms = AttemptTerms(name, 1, 1.0, "tenant-ő", 1)
        call = mock.Mock(forwarded_headers=[], request_id="r", model="")
        headers = UpstreamTranslation().request_headers(call, terms)
        self.assertIn((b"x-rampwick-target-instance", name.encode()), headers)
        self.assertIn((b"x-rampwick-tenant", "tenant-ő".encode()), headers)
        answer = head(200, x_rampwick_instance_id=name.encode())
        info = UpstreamTranslation().read_response(answer, name)
        self.assertFalse(info.is_other_incarnation)

    def test_name_within_latin1_is_recognized_in_both_encodings(self):
        control = ControlTranslation("host", StewardSettings())
        for encoding in ("utf-8", "latin-1"):
            answer = head(200, x_rampwick_instance_id="i-é".encode(encoding))
            self.assertIs(None, control.read_probe(entry("i-é"), answer, b""))
            info = UpstreamTranslation().read_response(answer, "i-é")
            self.assertFalse(info.is_other_incarnation)


class ReportsOfUpstreamsTest(TestCase):
    """Values of any type in reports and events."""

    def read(self, **changes):
        data = {
            "epoch": 1,
            "next_page_token": 4,
            "lost": False,
            "events": [],
            **changes,
        }
        return CacheTranslation().read_events(head(), json.dumps(data).encode())

    def test_numbers_of_other_types_are_errors_of_their_cache(self):
        for field in ("next_page_token", "epoch"):
            for value in ("4", None, [], {}, -1, 1.5, 10**30):
                self.assertRaises(DataError, self.read, **{field: value})
        self.assertRaises(DataError, self.read, events=7)

    def test_numbers_of_other_types_in_native_events_are_errors_of_their_cache(self):
        sound = {"epoch": 1, "next_number": 4, "has_gap": False, "events": []}
        odd = []
        for field in ("epoch", "next_number"):
            odd += [{**sound, field: value} for value in ("4", None, 1.5, -1, 1e400)]
        dialect = NativeCacheDialect()
        self.assertEqual(4, dialect.read_events(head(), encode(sound)).next_number)
        for data in odd:
            self.assertRaises(DataError, dialect.read_events, head(), encode(data))
        for event in (["s", "part", "many"], ["s", 7, 1], [7, "part", 1], None, []):
            data = {**sound, "events": [event, ["s", "part", 5]]}
            found = dialect.read_events(head(), encode(data))
            self.assertEqual([CacheEvent("s", b"part", 5)], list(found.events))
            self.assertTrue(found.has_gap)

    def test_invalid_event_is_a_gap_and_hides_no_other(self):
        sound = [2, "+", "s", "part", 5, "m"]
        for odd in (
            [1, "+", "s", "part", "many", "m"],
            [1, "+", 7, "part", 5, "m"],
            [1, "+", "s", "part", -5, "m"],
            [1, "+", "s", "part", 10**30, "m"],
            [1, "+", "s", None, 5, "m"],
            None,
            [],
        ):
            found = self.read(events=[odd, sound])
            self.assertEqual([CacheEvent("s", b"part", 5)], list(found.events))
            self.assertTrue(found.has_gap)

    def test_number_of_many_digits_in_a_head_is_no_error(self):
        digits = b"9" * 5000
        answer = ResponseHead(
            200,
            [
                (b"rampwick-weights-version", digits),
                (b"keep-alive", b"timeout=" + digits),
                (b"retry-after", digits),
                (b"x-rampwick-weight-versions", digits),
                (b"rampwick-request-rate", digits),
            ],
        )
        NativeUpstreamDialect().read_response(answer, "a")
        UpstreamTranslation().read_response(answer, "a")


class ErrorOfAPeerTest(ScenarioCase):
    """An error in the handling of a peer's message costs its link."""

    def test_message_that_fails_unexpectedly_ends_no_host(self):
        is_odd = False

        async def scenario(bench):
            nonlocal is_odd
            bench.add_runner("r1")
            async with run_two_hosts(bench) as (one, _):
                before = sum(unexpected_error_counts().values())
                is_odd = True
                await until(
                    lambda: sum(unexpected_error_counts().values()) > before + 2
                )
                return (await one.complete()).status_code

        with failing(GossipTask, "_handle_message", lambda link, message: is_odd):
            self.assertEqual(200, self.run_scenario(scenario))
