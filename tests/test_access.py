"""Routes, keys and how old a configuration may be."""

import hashlib

from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    AccessRules,
    AnswerPace,
    RouteIndex,
    TreeError,
    TreeView,
    Verdict,
    choose_service,
    decide_access,
    fits_before,
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
    def test_the_longest_prefix_of_the_host_wins(self):
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

    def test_a_split_follows_its_weights_and_every_host_agrees(self):
        split = route("r", targets=[WeightedService("s", 90), WeightedService("t", 10)])
        drawn = [choose_service(split, f"request-{number}") for number in range(2000)]
        self.assertEqual(
            drawn,
            [choose_service(split, f"request-{number}") for number in range(2000)],
        )
        self.assertTrue(120 < drawn.count("t") < 280, drawn.count("t"))

    def test_a_service_without_weight_gets_nothing(self):
        split = route("r", targets=[WeightedService("s", 0), WeightedService("t", 1)])
        drawn = {choose_service(split, f"request-{number}") for number in range(200)}
        self.assertEqual({"t"}, drawn)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(["", "x", "y", "xx"]), max_size=4))
    def test_look_up_agrees_with_trying_every_route(self, parts):
        prefixes = ["/", "/x/", "/x/y/", "/xx/", "/y/x/"]
        routes = [route(prefix, prefix=prefix) for prefix in prefixes]
        path = "/" + "/".join(parts)
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = RouteIndex(Routing(routes)).find("a.example", path)
        self.assertEqual(max(fitting, key=len, default=None), found and found.name)


class ValidationTest(TestCase):
    def test_bad_routes_are_refused_with_their_names(self):
        for bad, text in (
            (route("r", prefix="/x"), "between slashes"),
            (route("r", targets=[WeightedService("nobody")]), "'nobody'"),
            (route("r", targets=[WeightedService("s", 0.0)]), "no weight"),
        ):
            error = self.assertRaises(TreeError, make_view, bad)
            self.assertIn(text, str(error))
            self.assertIn("r", str(error))

    def test_two_routes_with_one_prefix_are_refused(self):
        error = self.assertRaises(TreeError, make_view, route("a"), route("b"))
        self.assertIn("same host and path_prefix", str(error))


class AccessTest(TestCase):
    def test_without_a_configuration_nothing_is_said_of_routes_or_keys(self):
        view = make_view(revision=0)
        self.assertIs(Verdict.NO_CONFIGURATION, decide(view).verdict)

    def test_a_key_needs_a_configuration_that_was_confirmed_lately(self):
        view = make_view(route("r"))
        self.assertIs(Verdict.ALLOWED, decide(view, age=3.5).verdict)
        self.assertIs(Verdict.STALE, decide(view, age=3.6).verdict)

    def test_a_public_route_is_served_by_an_old_configuration(self):
        view = make_view(route("r", is_public=True))
        access = decide(view, key_hash=None, age=3600.0)
        self.assertIs(Verdict.ALLOWED, access.verdict)
        self.assertEqual("/", access.workspace.path)

    def test_nobody_is_told_unknown_by_an_old_configuration(self):
        view = make_view(route("r"))
        other = hashlib.sha256(b"other").hexdigest()
        self.assertIs(Verdict.UNKNOWN_KEY, decide(view, key_hash=other).verdict)
        self.assertIs(Verdict.STALE, decide(view, key_hash=other, age=1.1).verdict)
        self.assertIs(Verdict.UNKNOWN_ROUTE, decide(view, path="/y/").verdict)
        self.assertIs(Verdict.STALE, decide(view, path="/y/", age=1.1).verdict)

    def test_a_key_that_is_missing_is_missing_whatever_the_age(self):
        view = make_view(route("r"))
        self.assertIs(Verdict.NO_KEY, decide(view, key_hash=None, age=9.0).verdict)


class CacheWallTest(TestCase):
    def walls(self, **isolated):
        nodes = {"/": Node()}
        for name, is_isolated in isolated.items():
            nodes[f"/{name}"] = Node(is_workspace=True, is_isolated=is_isolated)
        view = make_view(nodes=nodes)
        return {path: item.cache_domain for path, item in view.workspaces.items()}

    def test_isolated_workspaces_share_with_nobody(self):
        walls = self.walls(a=False, b=False, c=True, d=True)
        self.assertEqual(walls["/a"], walls["/b"])
        self.assertEqual(3, len(set(walls.values())))

    def test_what_was_shared_is_left_behind_when_one_becomes_isolated(self):
        before = self.walls(a=False, b=False)
        after = self.walls(a=False, b=True)
        self.assertNotIn(after["/b"], before.values())
        self.assertNotEqual(before["/a"], after["/a"])


class LeavingTest(TestCase):
    def test_only_what_will_surely_be_done_is_still_taken(self):
        terms = {"latency_target_seconds": 0.5, "now_seconds": 10.0}
        self.assertTrue(fits_before(13.0, max_answer_tokens=50, **terms))
        self.assertFalse(fits_before(12.0, max_answer_tokens=50, **terms))
        self.assertTrue(fits_before(11.0, max_answer_tokens=0, **terms))

    def test_after_slow_answers_less_is_taken(self):
        # Answers of 36 tokens took 6.4 s after an outage of the store; a host with 4 s
        # left took such requests on kept connections and cut them.
        pace = AnswerPace()
        terms = {"latency_target_seconds": 0.515, "now_seconds": 10.0}
        self.assertTrue(fits_before(14.5, max_answer_tokens=36, **terms))
        pace.note(6.4, answer_tokens=36, **terms)
        ratio = pace.worst_ratio(11.0)
        self.assertFalse(
            fits_before(14.5, max_answer_tokens=36, pace_ratio=ratio, **terms)
        )
        self.assertTrue(
            fits_before(14.5, max_answer_tokens=0, pace_ratio=ratio, **terms)
        )

    def test_slow_answers_are_forgotten(self):
        pace = AnswerPace()
        pace.note(6.4, latency_target_seconds=0.5, answer_tokens=36, now_seconds=10.0)
        self.assertGreater(pace.worst_ratio(11.0), 2.9)
        self.assertEqual(2.0, pace.worst_ratio(60.0))
