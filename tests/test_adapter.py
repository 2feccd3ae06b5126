"""The adapter to the users' platform: translation, and no platform names outside."""

import re
from pathlib import Path

import httpx
import orjson
from testtools import TestCase

from rampwick_adapter._control import ControlTranslation
from rampwick_adapter._objects import ObjectsTranslation
from rampwick_adapter._records import StoreTranslation
from rampwick_adapter._requests import CallerTranslation, UpstreamTranslation
from rampwick_platform import (
    KindState,
    PlatformError,
    StoredObject,
    VersionConflictError,
)
from rampwick_policy import OrderResult, TreeView
from rampwick_router import (
    AttemptTerms,
    CallerError,
    RawCall,
    RequestRate,
    ResponseHead,
)
from rampwick_schema import (
    DataError,
    HostEntry,
    Order,
    StewardSettings,
    parse_settings,
)

ROOT = Path(__file__).resolve().parent.parent

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "One.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "priority": 1,
            "traffic_split": [
                {"service": "engine-s", "weight": 90},
                {"service": "plain", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 500,
            "a_field_of_tomorrow": [1],
        },
        {
            "name": "r-2",
            "host": "one.example",
            "path_prefix": "/b/",
            "kind": "idempotent",
            "timeout_ms": 3000,
            "service": "plain",
        },
    ],
    "services": [
        {
            "name": "engine-s",
            "health_path": "/well",
            "max_connections": 370,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 99487,
                "kv_token_bytes": 18432,
                "link_mbps": 550000.0,
                "max_in_flight": 12,
                "stride": 7,
                "models": [{"name": "m-1"}],
            },
        },
        {"name": "plain", "health_path": "/health", "max_connections": 110},
        {
            "name": "kept",
            "kv_store_addr": "172.20.0.2:8781",
            "zone": "b",
            "kv_capacity_tokens": 635402,
            "link_mbps": 25000.0,
        },
    ],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "priority": 0, "isolated": True},
        {"name": "t2", "api_keys": ["k3"]},
    ],
}


def stored(key, spec, version=3):
    return StoredObject(key, version, orjson.dumps(spec))


def state(*objects):
    return KindState({item.key: item for item in objects}, 3, 0.0)


def with_fractions(data, more):
    """Return the data with ``more`` added to each integer except the version."""
    if isinstance(data, dict):
        return {
            key: item if key == "version" else with_fractions(item, more)
            for key, item in data.items()
        }
    if isinstance(data, list):
        return [with_fractions(item, more) for item in data]
    return data + more if type(data) is int else data


def read_tree(manifest):
    return StoreTranslation().read_tree(state(stored("config/main", manifest)))


class TenantLimitsTest(TestCase):
    """Limits of tenants in all forms that a manifest may have."""

    def read(self, **fields):
        tenant = {"name": "t1", "api_keys": ["k"], **fields}
        manifest = {**MANIFEST, "tenants": [tenant]}
        held = state(stored("config/main", manifest))
        return StoreTranslation().read_tree(held).nodes["/t1"]

    def test_token_limits_and_tokens_of_plain_requests(self):
        node = self.read(
            unit="token_stream", plain_tokens=200, rate_per_s=516742, burst=1000.5
        )
        self.assertEqual(
            (516742.0, 1000.5, 200.0, False),
            (
                node.tokens_per_second,
                node.burst_tokens,
                node.plain_tokens,
                node.counts_requests,
            ),
        )

    def test_limits_without_a_unit_count_requests(self):
        node = self.read(rate_per_s=12.5)
        self.assertEqual(
            (12.5, None, True),
            (node.tokens_per_second, node.burst_tokens, node.counts_requests),
        )

    def test_zero_or_missing_limits_are_unlimited(self):
        for fields in ({}, {"rate_per_s": 0, "burst": 5}, {"rate_per_s": None}):
            node = self.read(**fields)
            self.assertEqual((None, None), (node.tokens_per_second, node.burst_tokens))

    def test_a_limit_above_the_maximum_is_reduced_to_it(self):
        self.assertEqual(1e9, self.read(rate_per_s=1e15).tokens_per_second)

    def test_declared_tokens_are_the_sum_of_the_header_values(self):
        def named(value):
            headers = [(b"x-rampwick-request-id", b"r1")]
            if value is not None:
                headers.append((b"x-rampwick-token-usage", value))
            call = CallerTranslation().read_call(RawCall("POST", "/a/1", headers))
            return call.declared_tokens

        self.assertEqual(1540, named(b"1460,80"))
        self.assertEqual(1540, named(b" 1460 , 80 "))
        self.assertIsNone(named(None))
        self.assertIsNone(named(b"1460,many"))


class ManifestTest(TestCase):
    def test_a_manifest_is_translated_to_a_valid_tree(self):
        view = TreeView(read_tree(MANIFEST))
        self.assertEqual(7, view.revision)
        route = view.routes.find("one.example", "/a/x")
        self.assertTrue(route.is_stream and route.is_resumable)
        self.assertFalse(route.is_repeatable)
        self.assertEqual(
            (4.0, 0.6, 0.5, 2),
            (
                route.timeout_seconds,
                route.latency_target_seconds,
                route.gap_target_seconds,
                route.max_attempts_count,
            ),
        )
        self.assertTrue(view.routes.find("one.example", "/b/").is_repeatable)
        engine = view.routes.service("engine-s")
        self.assertEqual(7, engine.event_tokens)
        self.assertEqual(
            (True, "m-1", "/well"), (engine.is_engine, engine.model, engine.health_path)
        )
        (store,) = view.routes.routing.kept_stores
        self.assertEqual(("172.20.0.2:8781", "b"), (store.address, store.hall))
        self.assertIsNone(view.routes.service("kept"))
        self.assertEqual(0, view.workspaces["/t1"].priority_rank)
        self.assertNotEqual(
            view.workspaces["/t1"].cache_domain, view.workspaces["/t2"].cache_domain
        )
        self.assertEqual(15.0, view.routes.routing.caller_limits.idle_timeout_seconds)

    def test_an_invalid_manifest_is_rejected_with_the_field(self):
        for name in ("version", "routes", "services"):
            for value in (None, "many", {}, -1, 2**63, 0.5):
                manifest = {**MANIFEST, name: value}
                error = self.assertRaises(DataError, read_tree, manifest)
                self.assertIn(f"{name} is ", str(error))

    def test_an_invalid_field_is_named_and_costs_its_route_at_most(self):
        route = dict(MANIFEST["routes"][0])
        del route["timeout_ms"]
        self.assertEqual(["routes[0]: timeout_ms is missing"], self.problems(route))
        bad = {**MANIFEST["routes"][0], "max_attempts": "many"}
        self.assertEqual(
            ["routes[0]: max_attempts is 'many', expected a number"], self.problems(bad)
        )

    def problems(self, route):
        problems = []
        manifest = {**MANIFEST, "routes": [route, MANIFEST["routes"][1]]}
        held = state(stored("config/main", manifest))
        tree = StoreTranslation().read_tree(held, problems.append)
        self.assertEqual(["r-1", "r-2"], [item.name for item in tree.routing.routes])
        return problems

    def test_counts_may_be_written_as_fractions(self):
        """A rank of 1.0 is not a list index, so that each request would fail."""
        wanted = read_tree(MANIFEST)
        self.assertEqual(wanted, read_tree(with_fractions(MANIFEST, 0.0)))
        tree = read_tree(with_fractions(MANIFEST, 0.25))
        for node in tree.nodes.values():
            self.assertIn(type(node.priority_rank), (int, type(None)))
        for route in tree.routing.routes:
            self.assertIs(int, type(route.priority_rank))
            self.assertIs(int, type(route.max_attempts_count))
        for service in tree.routing.services:
            self.assertIs(int, type(service.max_connections_count))

    def test_a_missing_manifest_yields_no_tree(self):
        self.assertIsNone(StoreTranslation().read_tree(state()))

    def test_upstream_entries_and_weights_targets_are_translated(self):
        entry = StoreTranslation().read_upstream(
            stored(
                "servers/i-1",
                {
                    "service": "engine-s",
                    "address": "10.0.0.9:1",
                    "zone": "b",
                    "version": "v1",
                    "slots": 64,
                    "cold_remaining_ms": 0,
                    "state": "draining",
                    "models": [{"name": "m-1", "version": 4, "adapters": []}],
                    "seq": 4,
                },
            )
        )
        expected = HostEntry(
            "i-1",
            "runner",
            "b",
            "10.0.0.9:1",
            state="leaving",
            group="engine-s",
            incarnation="i-1",
            model="m-1",
            weights_version=4,
            slots_count=64,
            software_version="v1",
        )
        self.assertEqual(expected, entry)
        target = StoreTranslation().read_target(
            stored("versions/m-1", {"model": "m-1", "version": 5})
        )
        self.assertEqual(("m-1", 5), (target.model, target.weights_version))
        self.assertRaises(
            DataError, StoreTranslation().read_upstream, stored("servers/i-2", {})
        )


def raw_call(**headers):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in {"host": "one.example:80", **headers}.items()
    ]
    return RawCall("POST", "/a/1?q=2", pairs)


class RequestTest(TestCase):
    def test_all_fields_of_a_request_are_read(self):
        call = CallerTranslation().read_call(
            raw_call(
                x_rampwick_request_id="id1",
                x_rampwick_request_timeout_ms="5000",
                x_rampwick_model="m-1",
                x_rampwick_token_usage="1460,80",
                x_rampwick_prefix_hash="5c1e07a2:800,91bd3f06:410",
                authorization="Bearer k1",
                last_event_id="7",
            )
        )
        self.assertEqual(
            ("id1", "one.example", "k1"), (call.request_id, call.host, call.key)
        )
        self.assertEqual(
            (5.0, 80, "7"),
            (call.timeout_seconds, call.max_answer_tokens, call.last_event_id),
        )
        self.assertEqual([800, 410], [part.tokens for part in call.parts])
        self.assertEqual("/a/1", call.path)

    def test_a_request_must_have_exactly_one_id(self):
        read = CallerTranslation().read_call
        self.assertRaises(CallerError, read, raw_call())
        twice = raw_call(x_rampwick_request_id="a")
        twice.headers.append((b"x-rampwick-request-id", b"b"))
        self.assertRaises(CallerError, read, twice)
        bad = raw_call(x_rampwick_request_id="a", x_rampwick_prefix_hash="nonsense")
        self.assertRaises(CallerError, read, bad)

    def test_reserved_headers_of_callers_are_not_forwarded(self):
        forged = {
            "x_rampwick_tenant": "other",
            "x_rampwick_hold": "h",
            "x_rampwick_pin_ms": "4000",
            "x_rampwick_kv_backup": "10.0.0.1:1",
            "kv_from": "10.0.0.1:1/x",
            "x_rampwick_cache_salt": "s",
            "x_rampwick_kv_fetch_from": "10.0.0.1:1",
            "x_rampwick_kv_save_to": "10.0.0.1:1",
            "x_rampwick_target_instance": "i-9",
            "x_rampwick_expect_version": "1",
            "x_rampwick_request_priority": "0",
            "x_rampwick_not_executed": "1",
            "x_rampwick_response_signature": "sig",
            "authorization": "Bearer k1",
            "connection": "x-rampwick-model, x-hop",
            "x_hop": "1",
            "te": "trailers",
            "x_own": "kept",
        }
        call = CallerTranslation().read_call(
            raw_call(
                x_rampwick_request_id="id1",
                x_rampwick_model="m-1",
                x_rampwick_length_hint="9",
                **forged,
            )
        )
        terms = AttemptTerms(
            incarnation="i-1",
            weights_version=4,
            remaining_seconds=1.5,
            workspace="t1",
            priority_rank=2,
            cache_salt="ours",
        )
        sent = UpstreamTranslation().request_headers(call, terms)
        names = [name for name, _ in sent]
        self.assertEqual(len(names), len(set(names)))
        expected = {
            b"host": b"one.example:80",
            b"x-own": b"kept",
            b"x-rampwick-request-id": b"id1",
            b"x-rampwick-model": b"m-1",
            b"x-rampwick-length-hint": b"9",
            b"x-rampwick-request-timeout-ms": b"1500",
            b"x-rampwick-target-instance": b"i-1",
            b"x-rampwick-tenant": b"t1",
            b"x-rampwick-cache-salt": b"ours",
            b"x-rampwick-request-priority": b"2",
            b"x-rampwick-expect-version": b"4",
        }
        self.assertEqual(expected, dict(sent))

    def test_a_rate_limit_is_a_short_decimal_number(self):
        def rate(*values):
            headers = [(b"Server-Limit", value) for value in values]
            facts = UpstreamTranslation().read_response(
                ResponseHead(200, headers), "i-1"
            )
            return facts.request_rate

        for value, expected in (
            (b"1.8", 1.8),
            (b"0", 0.0),
            (b"0.05", 0.05),
            (b" 50 ", 50.0),
            (b"7.", 7.0),
            (b".5", 0.5),
        ):
            self.assertEqual(RequestRate(expected), rate(value))
        self.assertEqual(RequestRate(1.5), rate(b"2", b"1.5"))
        self.assertEqual(RequestRate(), rate())
        unreadable = RequestRate(is_readable=False)
        for value in (b"", b"-1", b"1e9", b"nan", b"inf", b"1,5", b"x", b"9" * 4096):
            self.assertEqual(unreadable, rate(value))
        self.assertEqual(unreadable, rate(b"2", b"x"))

    def test_response_headers_are_interpreted(self):
        read = UpstreamTranslation().read_response

        def facts(status, *headers):
            return read(ResponseHead(status, list(headers)), "i-1")

        refused = facts(503, (b"X-Rampwick-Not-Executed", b"1"))
        self.assertTrue(refused.was_refused and not refused.is_misdirected)
        other = facts(421, (b"X-Rampwick-Instance-Id", b"i-2"))
        self.assertTrue(other.was_refused and other.is_misdirected)
        self.assertTrue(other.is_other_incarnation)
        self.assertFalse(facts(503).was_refused)
        old = facts(421, (b"X-Rampwick-Instance-Id", b"i-1"))
        self.assertTrue(old.is_misdirected and not old.is_other_incarnation)
        served = facts(
            200,
            (b"X-Rampwick-Request-Id", b"id1"),
            (b"X-Rampwick-Response-Signature", b"sig"),
            (b"X-Rampwick-Weight-Versions", b"4"),
            (b"Keep-Alive", b"timeout=7"),
            (b"Connection", b"close"),
        )
        self.assertEqual(
            ("id1", True, 4, 7.0, True),
            (
                served.request_id,
                served.is_signed,
                served.weights_version,
                served.max_idle_seconds,
                served.is_closing,
            ),
        )

    def test_retry_after_may_be_a_fraction_of_a_second(self):
        error = CallerError(
            "busy", status=503, code="x", step="y", retry_after_seconds=0.05
        )
        answer = CallerTranslation().write_error(error, "id1")
        self.assertIn((b"retry-after", b"0.050"), answer.headers)
        self.assertIn((b"x-rampwick-request-id", b"id1"), answer.headers)


class ControlTest(TestCase):
    def setUp(self):
        super().setUp()
        self.control = ControlTranslation("front-1", StewardSettings(manner="keep"))
        self.entry = HostEntry(
            "i-1", "runner", "b", "10.0.0.9:1", incarnation="i-1", model="m-1"
        )

    def test_an_order_has_runner_fencing_token_and_order_count(self):
        order = Order(41, 5, expected_orders_count=2)
        request = self.control.order(self.entry, order)
        body = orjson.loads(request.body)
        self.assertEqual(
            {
                "op": "version",
                "model": "m-1",
                "version": 5,
                "manner": "retain",
                "holder": "front-1",
                "fencing_token": 41,
                "expected_revision": 2,
            },
            body,
        )
        self.assertIn((b"x-rampwick-target-instance", b"i-1"), request.headers)

    def test_results_of_orders(self):
        results = [
            self.control.read_order(ResponseHead(status, []))
            for status in (200, 202, 400, 409, 412, 421)
        ]
        self.assertEqual(
            [
                OrderResult.HOLDS,
                OrderResult.TAKEN,
                OrderResult.REFUSED,
                OrderResult.CONFLICT,
                OrderResult.FENCED,
                OrderResult.REFUSED,
            ],
            results,
        )

    def test_reports_are_translated(self):
        body = orjson.dumps(
            {
                "stage": "unified",
                "models": [{"name": "m-1", "version": 3, "adapters": []}],
                "busy": True,
                "seq": 2,
                "waiting": 1,
                "running": 12,
                "kv_used": 41000,
                "kv_total": 90000,
            }
        )
        head = ResponseHead(200, [])
        report = self.control.read_probe(self.entry, head, body)
        # A report names no incarnation.
        self.assertFalse(report.is_identified)
        self.assertEqual(
            (3, "loading", 2),
            (report.weights_version, report.role, report.orders_count),
        )
        self.assertRaises(DataError, self.control.read_probe, self.entry, head, b"{}")

    def test_a_service_is_healthy_only_if_its_instance_id_matches(self):
        entry = HostEntry("i-2", "service", "b", "10.0.0.9:1", incarnation="i-2")
        own = ResponseHead(200, [(b"X-Rampwick-Instance-Id", b"i-2")])
        other = ResponseHead(200, [(b"X-Rampwick-Instance-Id", b"i-3")])
        self.assertIsNone(self.control.read_probe(entry, own, b""))
        self.assertRaises(DataError, self.control.read_probe, entry, other, b"")


def reply(status, data):
    return httpx.Response(status, content=orjson.dumps(data))


def object_data(name, revision, spec=None):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


class ObjectsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = ObjectsTranslation()

    def test_the_first_write_creates_and_the_next_has_the_revision(self):
        first = self.store.put("leases/x", b'{"a":1}', 0)
        self.assertEqual(("POST", "/-/objects/leases"), (first.method, first.path))
        self.assertNotIn("revision", orjson.loads(first.content)["metadata"])
        second = self.store.put("leases/x", b'{"a":2}', 412)
        self.assertEqual(("PUT", "/-/objects/leases/x"), (second.method, second.path))
        body = orjson.loads(second.content)
        self.assertEqual((412, {"a": 2}), (body["metadata"]["revision"], body["spec"]))

    def test_the_era_is_read_from_any_response(self):
        def answer(**headers):
            return httpx.Response(410, headers=headers)

        self.assertEqual(3, self.store.read_era(answer(**{"Store-Era": "3"})))
        for headers in ({}, {"Store-Era": "third"}, {"Store-Era": "-1"}):
            self.assertEqual(0, self.store.read_era(answer(**headers)))

    def test_a_write_that_lost_a_race_is_a_version_conflict(self):
        taken = reply(409, object_data("x", 9))
        self.assertRaises(VersionConflictError, self.store.read_put, "leases/x", taken)
        gone = reply(404, {})
        self.assertRaises(VersionConflictError, self.store.read_put, "leases/x", gone)
        done = reply(200, object_data("x", 10))
        self.assertEqual(10, self.store.read_put("leases/x", done))

    def test_listings_and_watches_are_translated(self):
        listing = self.store.read_listing(
            "servers/",
            reply(
                200,
                {
                    "items": [object_data("i-1", 5, {"zone": "b"})],
                    "truncated": True,
                    "store_revision": 530,
                },
            ),
        )
        self.assertEqual((530, True), (listing.version, listing.is_truncated))
        self.assertEqual("servers/i-1", listing.objects[0].key)
        watched = self.store.read_listing(
            "servers/",
            reply(
                200,
                {
                    "events": [{"tombstone": True, "object": object_data("i-1", 6)}],
                    "store_revision": 533,
                },
            ),
        )
        self.assertTrue(watched.objects[0].is_deleted)
        more = self.store.list_objects("servers/", "servers/i-1")
        self.assertEqual({"after": "i-1"}, more.parameters)
        wait = self.store.watch("servers/", 530, 1.5)
        self.assertEqual({"watch": "530", "wait_ms": "1500"}, wait.parameters)

    def test_an_invalid_response_is_an_error(self):
        broken = httpx.Response(200, content=b"<html>")
        self.assertRaises(PlatformError, self.store.read_listing, "servers/", broken)
        for data in (
            {"events": []},
            {"events": [], "store_revision": -3},
            {"events": None, "store_revision": 3},
            {"store_revision": 3},
            [],
        ):
            answer = reply(200, data)
            self.assertRaises(
                PlatformError, self.store.read_listing, "servers/", answer
            )
        # An invalid event costs itself only, and names no upstream.
        empty = reply(200, {"events": [{"object": {}}], "store_revision": 3})
        listing = self.store.read_listing("servers/", empty)
        self.assertEqual((3, 1), (listing.version, len(listing.objects)))
        self.assertRaises(
            DataError, StoreTranslation().read_upstream, listing.objects[0]
        )


FIELDS = {
    "node_name": "front-1",
    "zone": "bratislava-a",
    "region": "sk-west",
    "ip": "10.1.0.30",
    "limits": {"link_mbps": 200},
    "listen": {
        "front": "10.1.0.30:8782",
        "readiness": "10.1.0.30:8789",
        "control": "10.1.0.30:8783",
    },
    "seeds": ["10.1.0.30:8783", "10.2.0.22:8783"],
    "platform": {"address": "10.200.1.7:8784"},
    "bounds": {
        "strict_revoke": True,
        "revoke_ms": 5000,
        "version_ms": 10000,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 56,
        "grace_s": 8,
        "lease_ms": 3000,
    },
}


def look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Render a template with the platform's syntax that deploy/host.toml uses."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

    def render_section(match):
        value = look_up(match.group(1), scopes)
        if not value:
            return ""
        if not isinstance(value, list):
            return render(match.group(2), [*scopes, value])
        parts = []
        for index, item in enumerate(value):
            comma = "," if index < len(value) - 1 else ""
            body = match.group(2).replace("{{,}}", comma)
            parts.append(render(body, [*scopes, item]))
        return "".join(parts)

    def render_value(match):
        value = look_up(match.group(1), scopes)
        if match.group(2) or isinstance(value, dict | bool):
            return orjson.dumps(value).decode()
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    text = section.sub(render_section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", render_value, text)


class TemplateTest(TestCase):
    def render(self, fields):
        text = (ROOT / "deploy/host.toml").read_text()
        return parse_settings(render(text, [fields]), source="template")

    def test_the_template_yields_valid_settings(self):
        settings = self.render(FIELDS)
        self.assertEqual("10.1.0.30:8782", settings.listen.entry)
        self.assertEqual(5.0, settings.platform.max_key_age_seconds)
        self.assertEqual(3.0, settings.steward.orders_apart_seconds)
        self.assertEqual(FIELDS["seeds"], settings.peers.seeds)

    def test_the_interval_of_renewals_comes_from_the_deployment(self):
        settings = self.render({**FIELDS, "heartbeat_ms": 800})
        self.assertEqual(0.8, settings.platform.entry_renewal_seconds)

    def test_the_template_yields_valid_settings_without_bounds(self):
        bounds = {"grace_s": 8}
        settings = self.render({**FIELDS, "seeds": [], "bounds": bounds})
        self.assertEqual(0.0, settings.platform.max_key_age_seconds)

    #: Forms that a value may have, including missing and invalid ones.
    VALUE_FORMS = (
        0, 1, 430, 430.13, 0.2, 5e-4, 1e9, -3, "430.13", "", None, True, False,
        "many", [], [1, 2], {}, {"a": 'it "is"'}, float("nan"), float("inf"),
    )  # fmt: skip

    def test_no_value_prevents_a_host_from_starting(self):
        """A fraction in place of a whole number kept a whole fleet from starting."""
        for table in ("bounds", "limits"):
            for key in FIELDS[table]:
                for value in self.VALUE_FORMS:
                    values = {**FIELDS[table], key: value}
                    settings = self.render({**FIELDS, table: values})
                    self.assertEqual("front-1", settings.host.name)

    def test_fractional_values_are_applied_unchanged(self):
        bounds = {**FIELDS["bounds"], "retry_budget_slack": 430.13, "grace_s": 7.5}
        settings = self.render({**FIELDS, "bounds": bounds})
        self.assertEqual(430.13, settings.retry.fleet_saved_count)
        self.assertEqual(7.5, settings.life.stop_within_seconds)
        none = self.render({**FIELDS, "bounds": {**bounds, "retry_budget_slack": 0}})
        self.assertEqual(0.0, none.retry.fleet_saved_count)

    def test_tables_and_lists_may_be_missing(self):
        for key in ("limits", "bounds", "seeds", "region"):
            settings = self.render({**FIELDS, key: None})
            self.assertEqual("bratislava-a", settings.host.hall)


class BoundaryTest(TestCase):
    """Names of the platform's wire format occur only in the adapter."""

    WORDS = re.compile(
        r"x-rampwick-|/-/|kv-from|kv_token|kv_store_addr|path_prefix.:|fencing_token"
        r"|create_revision|store_revision|api_keys|traffic_split|target_latency_ms",
        re.IGNORECASE,
    )
    OUTSIDE = ("packages", "schema", "tools", "measure", "soak")

    def test_wire_names_occur_only_in_the_adapter(self):
        found = [
            f"{path.relative_to(ROOT)}: {line.strip()}"
            for folder in self.OUTSIDE
            for path in sorted((ROOT / folder).rglob("*"))
            if path.suffix in (".py", ".toml") and "egg-info" not in str(path)
            for line in path.read_text().splitlines()
            if self.WORDS.search(line)
        ]
        self.assertEqual([], found)

    def test_the_adapter_is_a_small_part_of_the_code(self):
        def count(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        adapter = count((ROOT / "platform").rglob("*.py"))
        packages = count((ROOT / "packages").rglob("src/**/*.py"))
        self.assertLess(adapter, packages / 10)
