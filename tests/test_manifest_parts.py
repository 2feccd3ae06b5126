"""What the store accepts comes into force, and a part that can't fails alone."""

import copy
import hashlib
import json
from unittest import mock

import anyio
import httpx
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_adapter._manifest import MAX_TENANTS_COUNT
from rampwick_adapter._objects import ObjectsTranslation
from rampwick_adapter._records import StoreTranslation
from rampwick_adapter._requests import UpstreamTranslation
from rampwick_platform import KindState, StoredObject
from rampwick_policy import (
    AccessRules,
    TreeError,
    TreeView,
    Verdict,
    decide_access,
    validate_written_tree,
)
from rampwick_router import AttemptTerms
from rampwick_schema import (
    TreeReply,
    compress_message,
    decode_message,
    encode_message,
)

from .bench import until
from .scripted import MemoryStore, make_tree, run_routed_host
from .test_adapter import MANIFEST


def read(manifest):
    """Return the view of a manifest as a host that reads it, and its problems."""
    problems = []
    response = mock.Mock(content=encode(manifest))
    stored = ObjectsTranslation().read_object("config/main", response)
    state = KindState({stored.key: stored}, 3, 0.0)
    tree = StoreTranslation().read_tree(state, problems.append)
    # Other hosts receive the tree in a message.
    message = compress_message(encode_message(TreeReply(tree)))
    received = decode_message(message[4:], peer="").tree
    assert received == tree
    return TreeView(received), problems


def encode(manifest):
    data = {"metadata": {"name": "main", "revision": 3}, "spec": manifest}
    return json.dumps(data).encode()


def decide(
    view, *, key="k1", host="one.example", path="/a/x", age_seconds=0.0, rules=None
):
    """Return the verdict on a request."""
    key_hash = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    access = decide_access(
        view,
        host=host,
        path=path,
        key_hash=key_hash,
        age_seconds=age_seconds,
        rules=rules or AccessRules(),
    )
    return access.verdict


def changed(kind, index, **fields):
    """Return the manifest with other fields in one of its parts."""
    manifest = copy.deepcopy(MANIFEST)
    manifest[kind][index].update(fields)
    return manifest


#: Values that differ from the usual ones in each way that JSON allows.
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=-(10**40), max_value=10**40),
    st.floats(allow_nan=True, allow_infinity=True),
    st.text(max_size=80),
    st.text(alphabet="\ud800\udfff\n\r\0 /%éő.-_~", max_size=8),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=6,
)
FIELDS = {
    "routes": [*MANIFEST["routes"][0], "service"],
    "services": ["name", "health_path", "max_connections", "engine", "kv_store_addr"],
    "tenants": [
        "name",
        "api_keys",
        "priority",
        "isolated",
        "rate_per_s",
        "burst",
        "unit",
        "plain_tokens",
    ],
}
CHANGES = st.sampled_from(
    [(kind, field) for kind, fields in FIELDS.items() for field in fields]
)


class DrawnManifestTest(TestCase):
    """Whatever one part holds, the others are in force."""

    @given(change=CHANGES, value=VALUES)
    @settings(max_examples=600, derandomize=True, deadline=None)
    def test_value_of_a_field_costs_its_own_part_at_most(self, change, value):
        kind, field = change
        manifest = copy.deepcopy(MANIFEST)
        added = {**copy.deepcopy(manifest[kind][0]), field: value}
        if field not in ("name", "host", "path_prefix", "api_keys"):
            added.update(
                {"name": "added", "path_prefix": "/added/", "api_keys": ["added"]}
            )
        manifest[kind].append(added)
        view, _ = read(manifest)
        self.assertEqual(7, view.revision)
        self.assertIs(Verdict.ALLOWED, decide(view))
        self.assertIs(Verdict.ALLOWED, decide(view, key="k3", path="/b/x"))

    @given(
        values=st.dictionaries(
            st.sampled_from(
                [
                    "max_header_bytes",
                    "max_body_bytes",
                    "header_timeout_ms",
                    "idle_timeout_ms",
                ]
            ),
            VALUES,
        )
    )
    @settings(max_examples=100, derandomize=True, deadline=None)
    def test_limits_hold_up_no_route(self, values):
        view, _ = read({**MANIFEST, "limits": values})
        self.assertIs(Verdict.ALLOWED, decide(view))

    @given(
        engine=st.dictionaries(
            st.sampled_from(
                [
                    "slots",
                    "kv_capacity_tokens",
                    "kv_token_bytes",
                    "link_mbps",
                    "max_in_flight",
                    "stride",
                    "models",
                ]
            ),
            VALUES,
        )
    )
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_engine_holds_up_no_route(self, engine):
        view, _ = read(changed("services", 0, engine=engine))
        self.assertIs(Verdict.ALLOWED, decide(view))


class ReducedValuesTest(TestCase):
    """Numbers beyond those of rampwick's own settings."""

    def route(self, **fields):
        view, problems = read(changed("routes", 0, **fields))
        return view.routes.find("one.example", "/a/x"), problems

    def test_largest_number_of_attempts_has_no_bound_of_ours(self):
        route, problems = self.route(max_attempts=12)
        self.assertEqual((12, []), (route.max_attempts_count, problems))
        for value in (10**12, 10**30, 1e300):
            route, problems = self.route(max_attempts=value)
            self.assertEqual(10**9, route.max_attempts_count)
            self.assertIn("max_attempts", problems[0])

    def test_long_times_are_in_force(self):
        route, _ = self.route(timeout_ms=4_000_000, gap_aim_ms=5e6)
        self.assertEqual(
            (4000.0, 5000.0), (route.timeout_seconds, route.gap_target_seconds)
        )
        view, _ = read({**MANIFEST, "limits": {"idle_timeout_ms": 7_200_000}})
        self.assertEqual(7200.0, view.routes.routing.caller_limits.idle_timeout_seconds)

    def test_order_of_priorities_is_kept_beyond_the_last_rank(self):
        manifest = changed("routes", 0, priority=10)
        manifest["routes"][1]["priority"] = 9
        manifest["tenants"][0]["priority"] = 40
        manifest["tenants"][1]["priority"] = 10
        view, _ = read(manifest)
        ranks = [
            view.routes.find("one.example", path).priority_rank
            for path in ("/b/", "/a/")
        ]
        ranks += [view.workspaces[path].priority_rank for path in ("/t2", "/t1")]
        self.assertEqual([0, 1, 1, 2], ranks)

    def test_weights_beyond_the_bound_keep_their_ratio(self):
        split = [
            {"service": "engine-s", "weight": 3e9},
            {"service": "plain", "weight": 1e9},
        ]
        route, _ = self.route(traffic_split=split)
        first, second = route.targets
        self.assertAlmostEqual(3.0, first.weight / second.weight)

    def test_snapshot_of_many_tenants_fits_in_a_message(self):
        tenants = [
            {"name": f"tenant-{number}", "api_keys": [f"k{number}", f"l{number}"]}
            for number in range(MAX_TENANTS_COUNT)
        ]
        view, problems = read({**MANIFEST, "tenants": tenants})
        self.assertEqual((MAX_TENANTS_COUNT, []), (len(view.workspaces), problems))
        message = compress_message(encode_message(TreeReply(view.tree)))
        self.assertTrue(len(message) < 1_048_576)


class NamesOfTenantsTest(TestCase):
    """Any name is carried to the upstreams as it is."""

    def test_name_of_any_text_is_sent_to_upstreams_unchanged(self):
        for name in ("a b", "a/b", "/a", "%41", "%", "ő", "..", "-a", "~", "a" * 300):
            view, problems = read(changed("tenants", 0, name=name))
            workspace = view.find_workspace(hashlib.sha256(b"k1").hexdigest())
            terms = AttemptTerms("i", 1, 1.0, workspace.path.removeprefix("/"), 1)
            call = mock.Mock(forwarded_headers=[], request_id="r", model="")
            headers = UpstreamTranslation().request_headers(call, terms)
            self.assertIn((b"x-rampwick-tenant", name.encode()), headers)
            self.assertEqual([], problems)

    def test_usual_names_have_their_usual_paths(self):
        view, _ = read(MANIFEST)
        self.assertEqual({"/t1", "/t2"}, set(view.workspaces))

    def test_operators_write_plain_paths_only(self):
        view, _ = read(changed("tenants", 0, name="a b"))
        self.assertRaises(TreeError, validate_written_tree, view.tree)

    def test_name_that_no_header_can_carry_costs_its_own_keys(self):
        for name in ("a\nb", " a", "", None, 7, "\ud800", "x" * 2000):
            view, problems = read(changed("tenants", 0, name=name))
            self.assertIs(Verdict.UNUSABLE, decide(view), name)
            self.assertIs(Verdict.ALLOWED, decide(view, key="k3"), name)
            self.assertIs(Verdict.UNKNOWN_KEY, decide(view, key="other"), name)
            self.assertIn("name", problems[0])

    def test_key_of_two_tenants_is_that_of_the_first(self):
        view, problems = read(changed("tenants", 1, api_keys=["k1", "k3"]))
        owner = view.find_workspace(hashlib.sha256(b"k1").hexdigest())
        self.assertEqual("/t1", owner.path)
        self.assertIs(Verdict.ALLOWED, decide(view, key="k3"))
        self.assertEqual(1, len(problems))

    def test_tenants_of_one_name_keep_all_keys(self):
        view, _ = read(changed("tenants", 1, name="t1"))
        for key in ("k1", "k2", "k3"):
            self.assertIs(Verdict.ALLOWED, decide(view, key=key))


class ImpossibleRoutesTest(TestCase):
    """A route that can't be carried out is refused; it is not unknown."""

    def test_route_without_services_is_refused_and_not_unknown(self):
        for fields in (
            {"traffic_split": [{"service": "plain", "weight": 0}]},
            {"traffic_split": [], "service": 7},
            {"traffic_split": "x", "service": None},
        ):
            view, problems = read(changed("routes", 0, **fields))
            self.assertIs(Verdict.UNUSABLE, decide(view))
            self.assertIs(Verdict.ALLOWED, decide(view, key="k3", path="/b/x"))
            self.assertIn("routes[0]", problems[-1])

    def test_outdated_host_refreshes_before_it_refuses(self):
        rules = AccessRules(max_denial_age_seconds=1.0)
        view, _ = read(changed("routes", 0, traffic_split=[], service=7))
        nameless, _ = read(changed("tenants", 0, name=7))
        for found in (view, nameless):
            for age_seconds, verdict in ((0.5, Verdict.UNUSABLE), (2.0, Verdict.STALE)):
                decided = decide(found, age_seconds=age_seconds, rules=rules)
                self.assertIs(verdict, decided)

    def test_unknown_service_is_asked_nevertheless(self):
        view, problems = read(changed("routes", 1, service="elsewhere"))
        self.assertIsNotNone(view.routes.service("elsewhere"))
        self.assertIn("elsewhere", problems[0])

    def test_first_of_two_routes_of_one_prefix_is_in_force(self):
        manifest = changed("routes", 1, path_prefix="/a/")
        view, problems = read(manifest)
        self.assertEqual("r-1", view.routes.find("one.example", "/a/x").name)
        self.assertEqual(1, len(problems))


class PartlyReadTest(TestCase):
    """A version that was read in part is confirmed: its keys hold, others don't."""

    def test_version_read_in_part_confirms_its_keys(self):
        async def main():
            store = MemoryStore()
            store.write("config/main", make_tree())
            async with run_routed_host(store) as host:
                configuration = host.daemon._configuration
                manifest = changed("routes", 0, timeout_ms="never", max_attempts=12)
                manifest["routes"][1]["path_prefix"] = 5
                configuration.source._decoder = StoreTranslation()
                store.version += 1
                stored = StoredObject(
                    "config/main", store.version, json.dumps(manifest).encode()
                )
                store.objects["config/main"] = stored
                store._publish(stored)
                with anyio.fail_after(10.0):
                    await until(lambda: host.daemon.follower.revision == 7)
                before = configuration._confirmed_at_seconds
                await until(lambda: configuration._confirmed_at_seconds > before + 0.1)
                async with httpx.AsyncClient(trust_env=False) as client:
                    answer = await client.get(f"http://{host.admin_address}/status")
                return configuration.part_problems, answer.json()

        problems, status = anyio.run(main)
        self.assertEqual(2, len(problems))
        self.assertEqual(problems, status["configuration_problems"])
        for problem in problems:
            self.assertIn(f"configuration: {problem}", status["degraded"])
