"""Routes, keys, the age limits of a configuration, and answers during shutdown."""

import hashlib

from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    AccessRules,
    RouteIndex,
    SlowAnswerTracker,
    TreeError,
    TreeView,
    Verdict,
    can_finish_before,
    choose_service,
    decide_access,
)
from rampwick_schema import Node, Route, Routing, Service, Tree, WeightedService

KEY_HASH = hashlib.sha256(b"key").hexdigest()
RULES = AccessRules(max_key_age_seconds=3.5, max_denial_age_seconds=1.0)


def route(name, host="a.example", prefix="/x/", **options):
    targets = options.pop("targets", [WeightedService("s")])
    return Route(name, host, prefix, targets, **options)


def make_view(*routes, revision=1, nodes=None):
    nodes = nodes or {
        "/": Node(),
        "/t": Node(is_workspace=True, key_hashes=[KEY_HASH]),
    }
    return TreeView(Tree(revision, nodes, Routing(list(routes), [Service("s")])))


def decide(view, path="/x/1", key_hash=KEY_HASH, age=0.0, host="a.example"):
    return decide_access(
        view, host=host, path=path, key_hash=key_hash, age_seconds=age, rules=RULES
    )


class RouteIndexTest(TestCase):
    def test_longest_prefix_of_the_host_is_selected(self):
        index = RouteIndex(
            Routing(
                [route("short"), route("long", prefix="/x/y/"), route("o", "b.example")]
            )
        )
        self.assertEqual("long", index.find("a.example", "/x/y/z").name)
        self.assertEqual("short", index.find("a.example", "/x/yy/z").name)
        self.assertEqual("short", index.find("a.example", "/x/").name)
        self.assertIsNone(index.find("a.example", "/x"))
        self.assertIsNone(index.find("c.example", "/x/1"))

    def test_split_follows_its_weights_and_is_equal_on_every_host(self):
        split = route("r", targets=[WeightedService("s", 90), WeightedService("t", 10)])
        drawn = [choose_service(split, f"request-{number}") for number in range(2000)]
        self.assertEqual(
            drawn,
            [choose_service(split, f"request-{number}") for number in range(2000)],
        )
        self.assertTrue(120 < drawn.count("t") < 280, drawn.count("t"))

    def test_service_with_zero_weight_gets_no_requests(self):
        split = route("r", targets=[WeightedService("s", 0), WeightedService("t", 1)])
        drawn = {choose_service(split, f"request-{number}") for number in range(200)}
        self.assertEqual({"t"}, drawn)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(["", "x", "y", "xx"]), max_size=4))
    def test_lookup_agrees_with_a_linear_search(self, parts):
        prefixes = ["/", "/x/", "/x/y/", "/xx/", "/y/x/"]
        routes = [route(prefix, prefix=prefix) for prefix in prefixes]
        path = "/" + "/".join(parts)
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = RouteIndex(Routing(routes)).find("a.example", path)
        self.assertEqual(max(fitting, key=len, default=None), found and found.name)


class ValidationTest(TestCase):
    def test_error_for_an_invalid_route_names_it(self):
        for bad, text in (
            (route("r", prefix="/x"), "must start and end with /"),
            (route("r", targets=[WeightedService("nobody")]), "'nobody'"),
            (
                route("r", targets=[WeightedService("s", 0.0)]),
                "total weight of its services is not positive",
            ),
        ):
            error = self.assertRaises(TreeError, make_view, bad)
            self.assertIn(text, str(error))
            self.assertIn("r", str(error))

    def test_duplicate_prefixes_are_rejected(self):
        error = self.assertRaises(TreeError, make_view, route("a"), route("b"))
        self.assertIn("same host and path_prefix", str(error))


class AccessTest(TestCase):
    def test_without_a_configuration_no_route_or_key_is_unknown(self):
        view = make_view(revision=0)
        self.assertIs(Verdict.NO_CONFIGURATION, decide(view).verdict)

    def test_key_requires_a_recently_confirmed_configuration(self):
        view = make_view(route("r"))
        self.assertIs(Verdict.ALLOWED, decide(view, age=3.5).verdict)
        self.assertIs(Verdict.STALE, decide(view, age=3.6).verdict)

    def test_public_route_is_served_with_an_old_configuration(self):
        view = make_view(route("r", is_public=True))
        access = decide(view, key_hash=None, age=3600.0)
        self.assertIs(Verdict.ALLOWED, access.verdict)
        self.assertEqual("/", access.workspace.path)

    def test_old_configuration_does_not_reject_as_unknown(self):
        view = make_view(route("r"))
        other = hashlib.sha256(b"other").hexdigest()
        self.assertIs(Verdict.UNKNOWN_KEY, decide(view, key_hash=other).verdict)
        self.assertIs(Verdict.STALE, decide(view, key_hash=other, age=1.1).verdict)
        self.assertIs(Verdict.UNKNOWN_ROUTE, decide(view, path="/y/").verdict)
        self.assertIs(Verdict.STALE, decide(view, path="/y/", age=1.1).verdict)

    def test_missing_key_is_reported_at_any_age(self):
        view = make_view(route("r"))
        self.assertIs(Verdict.NO_KEY, decide(view, key_hash=None, age=9.0).verdict)


class CacheDomainTest(TestCase):
    def domains(self, **isolated):
        nodes = {"/": Node()}
        for name, is_isolated in isolated.items():
            nodes[f"/{name}"] = Node(is_workspace=True, is_isolated=is_isolated)
        view = make_view(nodes=nodes)
        return {path: item.cache_domain for path, item in view.workspaces.items()}

    def test_isolated_workspaces_have_their_own_cache_domain(self):
        domains = self.domains(a=False, b=False, c=True, d=True)
        self.assertEqual(domains["/a"], domains["/b"])
        self.assertEqual(3, len(set(domains.values())))

    def test_isolating_a_workspace_changes_all_cache_domains(self):
        before = self.domains(a=False, b=False)
        after = self.domains(a=False, b=True)
        self.assertNotIn(after["/b"], before.values())
        self.assertNotEqual(before["/a"], after["/a"])


class ShutdownTest(TestCase):
    def test_only_requests_that_finish_before_the_shutdown_are_accepted(self):
        terms = {"latency_target_seconds": 0.5, "now_seconds": 10.0}
        self.assertTrue(can_finish_before(13.0, max_answer_tokens=50, **terms))
        self.assertFalse(can_finish_before(12.0, max_answer_tokens=50, **terms))
        self.assertTrue(can_finish_before(11.0, max_answer_tokens=0, **terms))

    def test_fewer_requests_are_accepted_after_slow_answers(self):
        # After an outage of the store, answers of 36 tokens took 6.4 s. A host that
        # shut down in 4 s accepted such requests on keep-alive connections and cut
        # their answers.
        pace = SlowAnswerTracker()
        terms = {"latency_target_seconds": 0.515, "now_seconds": 10.0}
        self.assertTrue(can_finish_before(14.5, max_answer_tokens=36, **terms))
        pace.note(6.4, answer_tokens=36, **terms)
        ratio = pace.worst_ratio(11.0)
        self.assertFalse(
            can_finish_before(14.5, max_answer_tokens=36, overrun_ratio=ratio, **terms)
        )
        self.assertTrue(
            can_finish_before(14.5, max_answer_tokens=0, overrun_ratio=ratio, **terms)
        )

    def test_slow_answers_expire(self):
        pace = SlowAnswerTracker()
        pace.note(6.4, latency_target_seconds=0.5, answer_tokens=36, now_seconds=10.0)
        self.assertGreater(pace.worst_ratio(11.0), 2.9)
        self.assertEqual(2.0, pace.worst_ratio(60.0))
