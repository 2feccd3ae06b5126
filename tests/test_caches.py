"""What is known of caches: parts, engines' own word, imports, saves, salts."""

from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    AttemptDelivered,
    CacheChanges,
    CacheKnowledge,
    CacheSeen,
    HostListRead,
    Life,
    LivePeers,
    Member,
    PeerSummaryReceived,
    PromptPart,
    RequestArrived,
    SaltBook,
    Scheduler,
    Scope,
    TreeInForce,
    TreeView,
    chain_from_parts,
    is_cache_reader,
    kept_life,
    life_label,
    part_key,
)
from rampwick_policy._imports import SETUP_SECONDS, ImportSource
from rampwick_policy._kept import KeptKnowledge
from rampwick_policy._moves import MOVES_LABEL, Move
from rampwick_schema import (
    HostEntry,
    HostList,
    KeptStore,
    Node,
    Routing,
    Service,
    Summary,
    Tree,
    parse_settings,
)

SCOPE = Scope("wall", "m")
PARTS = [
    PromptPart(b"guide", 2500),
    PromptPart(b"thing", 3700),
    PromptPart(b"own", 900),
]
GUIDE, THING, OWN = (part_key(SCOPE, part.name) for part in PARTS)


def chain(*parts):
    return chain_from_parts(SCOPE, parts or PARTS)


class PartsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.knowledge = CacheKnowledge(1000)
        self.life = Life("one", 1)
        self.knowledge.observe_life("r", self.life, 100_000)

    def change(self, prefix, tokens, label="one/1"):
        self.knowledge.note_changes("r", label, [prefix], [tokens])

    def held(self):
        return self.knowledge.cached_tokens("r", chain())

    def test_a_part_counts_if_all_before_it_are_whole(self):
        self.change(THING, 3700)
        self.assertEqual(0, self.held())
        self.change(GUIDE, 2500)
        self.assertEqual(6200, self.held())
        self.change(GUIDE, 128)
        self.assertEqual(128, self.held())

    def test_what_was_placed_is_corrected_by_the_engines_word(self):
        self.knowledge.note_prompt("r", self.life, chain())
        self.assertEqual(7100, self.held())
        self.change(THING, 0)
        self.assertEqual(2500, self.held())

    def test_word_of_another_life_is_dropped(self):
        self.change(GUIDE, 2500, label="one/2")
        self.assertEqual(0, self.held())

    def test_the_last_part_is_nobody_elses(self):
        levels = chain().levels
        self.assertEqual([2500, 6200], [level.tokens for level in levels])
        self.assertEqual(THING, chain().home_key)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from([GUIDE, THING, OWN]), st.integers(0, 4000)))
    )
    def test_no_more_is_held_than_the_prompt_has(self, changes):
        knowledge = CacheKnowledge(1000)
        knowledge.observe_life("r", self.life, 100_000)
        for prefix, tokens in changes:
            knowledge.note_changes("r", "one/1", [prefix], [tokens])
        self.assertTrue(0 <= knowledge.cached_tokens("r", chain()) <= 7100)


class KeptKnowledgeTest(TestCase):
    def test_a_save_is_believed_for_a_while_and_the_stores_word_until_it_changes(self):
        kept = KeptKnowledge()
        kept.note_saved(1, GUIDE, 2500, 10.0)
        self.assertEqual(2500, kept.tokens(1, GUIDE, 20.0))
        self.assertEqual(0, kept.tokens(1, GUIDE, 30.0))
        kept.note_change(1, GUIDE, 2500, 30.0)
        self.assertEqual(2500, kept.tokens(1, GUIDE, 3000.0))
        kept.note_change(1, GUIDE, 0, 3001.0)
        self.assertEqual(0, kept.tokens(1, GUIDE, 3001.0))

    def test_versions_are_kept_apart(self):
        kept = KeptKnowledge()
        kept.note_change(1, GUIDE, 2500, 10.0)
        self.assertEqual(0, kept.tokens(2, GUIDE, 10.0))

    def test_a_beginning_counts_as_far_as_it_is_whole(self):
        kept = KeptKnowledge()
        kept.note_change(1, GUIDE, 2500, 10.0)
        kept.note_change(1, THING, 1000, 10.0)
        self.assertEqual(3500, kept.held_tokens(1, chain(), 10.0))


class SaltBookTest(TestCase):
    def test_salts_of_walls_models_and_versions_differ_and_are_found_again(self):
        book = SaltBook("secret")
        scopes = [Scope(wall, model) for wall in "ab" for model in "mn"]
        book.prepare(scopes, [1, 2])
        salts = {book.salt(scope, version) for scope in scopes for version in (1, 2)}
        self.assertEqual(8, len(salts))
        found = book.find(book.salt(scopes[0], 2))
        self.assertEqual((scopes[0], 2), (found.scope, found.weights_version))
        self.assertIsNone(book.find("a stranger's"))

    def test_hosts_with_one_secret_choose_the_same_salts(self):
        one, two = SaltBook("secret"), SaltBook("secret")
        self.assertEqual(one.salt(SCOPE, 3), two.salt(SCOPE, 3))
        self.assertNotEqual(one.salt(SCOPE, 3), SaltBook("other").salt(SCOPE, 3))


class CacheReaderRoleTest(TestCase):
    def readers(self, hosts, upstream_hall):
        found = []
        for name, hall in hosts:
            own = Member(name, hall, "")
            mates = frozenset(other for other, its in hosts if its == hall) - {name}
            near = LivePeers(mates, mates, frozenset(its for _, its in hosts))
            if is_cache_reader(own, "runner", upstream_hall, near):
                found.append((name, hall))
        return found

    def test_one_host_of_the_upstreams_hall_reads(self):
        hosts = [(f"h{number}", f"hall-{number % 3}") for number in range(9)]
        (reader,) = self.readers(hosts, "hall-1")
        self.assertEqual("hall-1", reader[1])

    def test_one_of_all_reads_where_the_hall_has_no_host(self):
        hosts = [(f"h{number}", f"hall-{number % 3}") for number in range(9)]
        self.assertEqual(1, len(self.readers(hosts, "hall-9")))


class ImportCase(TestCase):
    """Two runners whose engines import and save."""

    stores = (KeptStore("kept", "10.9.0.1:1", "h", 600_000, 25e9),)

    def setUp(self):
        super().setUp()
        settings_text = (
            '[host]\nname = "e"\nhall = "h"\n'
            "[placement]\nmax_prefill_queue_seconds = 10.0\n"
        )
        self.scheduler = Scheduler(parse_settings(settings_text, source="test"))
        service = Service(
            "s",
            is_engine=True,
            cache_tokens=100_000,
            token_bytes=18_432,
            link_bits_per_second=550e9,
        )
        nodes = {"/": Node(), "/t": Node(is_workspace=True)}
        tree = Tree(
            1, nodes, Routing(services=[service], kept_stores=list(self.stores))
        )
        self.view = TreeView(tree)
        self.scheduler.handle(TreeInForce(self.view), 0.0)
        self.list_runners(("a", 1), ("b", 1))

    def list_runners(self, *versions):
        entries = [
            HostEntry(
                name,
                "runner",
                "h",
                f"{name}:1",
                group="s",
                incarnation=name,
                model="m",
                weights_version=version,
                slots_count=64,
            )
            for name, version in versions
        ]
        read = HostListRead(HostList(len(entries), entries))
        self.scheduler.handle(read, 0.0)

    def tell(self, name, label, *changes):
        prefixes, tokens = zip(*changes, strict=True)
        seen = CacheSeen(name, (CacheChanges(label, prefixes, tokens),))
        self.scheduler.handle(seen, 1.0)

    def arrive(self, request_id="r1", parts=None):
        event = RequestArrived(
            request_id=request_id,
            workspace=self.view.workspaces["/t"],
            priority_class="interactive",
            deadline_seconds=60.0,
            is_repeatable=True,
            chain=chain(*(parts or ())),
            scope=SCOPE,
            service="s",
        )
        (dispatch,) = self.scheduler.handle(event, 1.0)
        return dispatch


class ImportTest(ImportCase):
    """Where a prompt goes, and from where its runner takes what it lacks."""

    def test_a_prompt_goes_where_it_is_held(self):
        self.tell("b", life_label(Life("b", 1)), (GUIDE, 2500), (THING, 3700))
        self.assertEqual("b", self.arrive().upstream)

    def test_a_busy_holder_is_imported_from(self):
        self.tell("b", life_label(Life("b", 1)), (GUIDE, 2500), (THING, 3700))
        holder = self.scheduler.upstreams.get("b")
        for number in range(64):
            holder.start(f"x{number}", 5000, 1.0)
        dispatch = self.arrive()
        self.assertEqual(("a", "b:1"), (dispatch.upstream, dispatch.import_address))
        self.assertEqual(
            (6200, 900),
            (dispatch.choice.imported_tokens, dispatch.choice.missing_tokens),
        )

    def test_nothing_is_imported_from_other_weights(self):
        self.list_runners(("a", 1), ("b", 1), ("old", 0))
        self.tell("old", life_label(Life("old", 0)), (GUIDE, 2500), (THING, 3700))
        holder = self.scheduler.upstreams.get("old")
        for number in range(64):
            holder.start(f"x{number}", 5000, 1.0)
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_the_store_is_asked_when_nobody_is_known_to_hold_anything(self):
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_a_shared_part_is_saved_once(self):
        self.assertEqual("10.9.0.1:1", self.arrive("r1").save_address)
        self.assertEqual("", self.arrive("r2").save_address)

    def test_what_the_store_tells_it_holds_is_not_saved_again(self):
        self.tell("kept", life_label(kept_life(1)), (GUIDE, 2500), (THING, 3700))
        dispatch = self.arrive()
        self.assertEqual("", dispatch.save_address)
        self.assertEqual(6200, dispatch.choice.imported_tokens)

    def test_a_store_that_came_back_empty_is_saved_to_again(self):
        self.tell("kept", life_label(kept_life(1)), (GUIDE, 2500), (THING, 3700))
        self.scheduler.handle(CacheSeen("kept", (), is_reset=True), 2.0)
        self.assertEqual("10.9.0.1:1", self.arrive().save_address)

    def test_peers_saves_count(self):
        other = Scheduler(
            parse_settings('[host]\nname = "f"\nhall = "h"\n', source="t")
        )
        other.pool.imports.apply(self.view.routes)
        self.arrive("r1")
        told = self.scheduler.summary(1, 1, False, 1.0).placed
        saved = [item for item in told if item.upstream == "kept"]
        self.assertEqual(1, len(saved))
        other.pool.imports.note_reported(saved[0], 1.0)
        self.assertIsNone(other.pool.imports.take_store(1, chain(), 1.0))


class QueueAtLinkTest(ImportCase):
    """What moves from a cache already is waited for, so short prompts do without."""

    SHORT = (PromptPart(b"style", 100), PromptPart(b"own", 400))

    def setUp(self):
        super().setUp()
        # At 5.9 us a token the store's link is busy for 0.3 s.
        self.scheduler.pool.moves.begin("x", Move("kept", "a", 50_000))

    def test_a_short_prompt_is_computed_instead(self):
        self.assertEqual("", self.arrive(parts=self.SHORT).import_address)

    def test_a_long_one_waits_for_its_cache(self):
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_a_short_one_takes_from_an_idle_link(self):
        self.scheduler.pool.moves.end("x")
        dispatch = self.arrive(parts=self.SHORT)
        self.assertEqual("10.9.0.1:1", dispatch.import_address)

    def test_peers_are_told_and_count(self):
        told = self.scheduler.summary(1, 1, False, 1.0).upstreams
        self.assertEqual(
            [("a", MOVES_LABEL, 50_000), ("kept", MOVES_LABEL, 50_000)],
            [(item.upstream, item.incarnation, item.waiting_tokens) for item in told],
        )
        summary = Summary(1, 1, 1, False, [], told, [])
        self.scheduler.handle(PeerSummaryReceived("p", "h", 1, summary), 1.0)
        self.assertEqual(100_000, self.scheduler.pool.moves.waiting_tokens("kept"))

    def test_a_move_counts_until_the_answer_begins(self):
        dispatch = self.arrive("r1")
        moves = self.scheduler.pool.moves
        self.assertGreater(moves.waiting_tokens("kept"), 50_000)
        self.scheduler.handle(AttemptDelivered("r1", dispatch.attempt_id), 1.5)
        self.assertEqual(50_000, moves.waiting_tokens("kept"))


class FarMoveTest(TestCase):
    def test_a_move_between_halls_takes_twice_as_long(self):
        source = ImportSource("s", "s:1", 5000, 1e-5, 1, hall="h")
        near, far = source.seconds(0, "h"), source.seconds(0, "k")
        self.assertAlmostEqual(2 * (near - SETUP_SECONDS), far - SETUP_SECONDS)
        self.assertEqual(0.0, source.seconds(5000, "k"))


class SeveralStoresTest(ImportCase):
    """Each store holds its own, and any may be asked."""

    stores = tuple(
        KeptStore(f"kept-{hall}", f"{hall}:1", hall, 600_000, 25e9) for hall in "hij"
    )

    def setUp(self):
        super().setUp()
        first = self.arrive("first")
        self.store = "kept-" + first.save_address.partition(":")[0]
        self.address = first.save_address
        for name in "ab":
            self.tell(name, life_label(Life(name, 1)), (GUIDE, 0), (THING, 0))
        self.others = [store for store in self.stores if store.address != self.address]

    def test_a_prompt_is_saved_to_one_store_and_imported_from_there(self):
        dispatch = self.arrive()
        self.assertEqual("", dispatch.save_address)
        self.assertEqual(self.address, dispatch.import_address)

    def test_a_prompt_is_imported_from_the_store_that_told_of_it(self):
        self.scheduler.handle(CacheSeen(self.store, (), is_reset=True), 2.0)
        other = self.others[0]
        self.tell(other.name, life_label(kept_life(1)), (GUIDE, 2500), (THING, 3700))
        dispatch = self.arrive()
        self.assertEqual(other.address, dispatch.import_address)
        self.assertEqual(6200, dispatch.choice.imported_tokens)

    def test_one_store_that_came_back_empty_says_nothing_of_another(self):
        self.scheduler.handle(CacheSeen(self.others[0].name, (), is_reset=True), 2.0)
        self.assertEqual("", self.arrive().save_address)

    def test_a_store_that_dropped_a_part_is_not_the_one_that_has_it(self):
        label = life_label(kept_life(1))
        self.tell(self.store, label, (GUIDE, 2500), (THING, 3700))
        self.tell(self.others[0].name, label, (GUIDE, 0), (THING, 0))
        self.assertEqual(self.address, self.arrive().import_address)
        self.assertEqual("", self.arrive("r2").save_address)
