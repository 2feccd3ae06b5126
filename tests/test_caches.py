"""Estimated cache contents: named parts, engine reports, imports, saves and salts."""

from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    AttemptDelivered,
    CacheChanges,
    CacheGeneration,
    CacheReported,
    HostListRead,
    LivePeers,
    Member,
    PeerSummaryReceived,
    PrefixCacheIndex,
    PromptPart,
    RequestArrived,
    SaltTable,
    Scheduler,
    Scope,
    TreeChanged,
    TreeView,
    chain_from_parts,
    generation_label,
    is_cache_reader,
    part_key,
    store_generation,
)
from rampwick_policy._cache_imports import SETUP_SECONDS, ImportSource
from rampwick_policy._cache_transfers import TRANSFERS_LABEL, CacheTransfer
from rampwick_policy._kv_store_contents import KvStoreContents
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
        self.cache_index = PrefixCacheIndex(1000)
        self.generation = CacheGeneration("one", 1)
        self.cache_index.observe_generation("r", self.generation, 100_000)

    def change(self, prefix, tokens, label="one/1"):
        self.cache_index.note_changes("r", label, [prefix], [tokens])

    def held(self):
        return self.cache_index.cached_tokens("r", chain())

    def test_part_counts_only_after_complete_parts(self):
        self.change(THING, 3700)
        self.assertEqual(0, self.held())
        self.change(GUIDE, 2500)
        self.assertEqual(6200, self.held())
        self.change(GUIDE, 128)
        self.assertEqual(128, self.held())

    def test_engine_report_corrects_the_entries_of_a_placement(self):
        self.cache_index.note_prompt("r", self.generation, chain())
        self.assertEqual(7100, self.held())
        self.change(THING, 0)
        self.assertEqual(2500, self.held())

    def test_report_of_another_generation_is_ignored(self):
        self.change(GUIDE, 2500, label="one/2")
        self.assertEqual(0, self.held())

    def test_last_part_is_not_shared(self):
        levels = chain().levels
        self.assertEqual([2500, 6200], [level.tokens for level in levels])
        self.assertEqual(THING, chain().affinity_key)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from([GUIDE, THING, OWN]), st.integers(0, 4000)))
    )
    def test_cached_tokens_do_not_exceed_the_prompt(self, changes):
        cache_index = PrefixCacheIndex(1000)
        cache_index.observe_generation("r", self.generation, 100_000)
        for prefix, tokens in changes:
            cache_index.note_changes("r", "one/1", [prefix], [tokens])
        self.assertTrue(0 <= cache_index.cached_tokens("r", chain()) <= 7100)


class KvStoreContentsTest(TestCase):
    def test_saved_entry_expires_and_reported_entry_stays_until_changed(self):
        contents = KvStoreContents()
        contents.note_saved(1, GUIDE, 2500, 10.0)
        self.assertEqual(2500, contents.tokens(1, GUIDE, 20.0))
        self.assertEqual(0, contents.tokens(1, GUIDE, 30.0))
        contents.note_change(1, GUIDE, 2500, 30.0)
        self.assertEqual(2500, contents.tokens(1, GUIDE, 3000.0))
        contents.note_change(1, GUIDE, 0, 3001.0)
        self.assertEqual(0, contents.tokens(1, GUIDE, 3001.0))

    def test_weights_versions_are_separate(self):
        contents = KvStoreContents()
        contents.note_change(1, GUIDE, 2500, 10.0)
        self.assertEqual(0, contents.tokens(2, GUIDE, 10.0))

    def test_prefix_counts_up_to_a_partial_part(self):
        contents = KvStoreContents()
        contents.note_change(1, GUIDE, 2500, 10.0)
        contents.note_change(1, THING, 1000, 10.0)
        self.assertEqual(3500, contents.held_tokens(1, chain(), 10.0))


class SaltTableTest(TestCase):
    def test_salts_of_scopes_and_versions_differ_and_map_back_to_them(self):
        table = SaltTable("secret")
        scopes = [Scope(workspace, model) for workspace in "ab" for model in "mn"]
        table.prepare(scopes, [1, 2])
        salts = {table.salt(scope, version) for scope in scopes for version in (1, 2)}
        self.assertEqual(8, len(salts))
        found = table.find(table.salt(scopes[0], 2))
        self.assertEqual((scopes[0], 2), (found.scope, found.weights_version))
        self.assertIsNone(table.find("unknown"))

    def test_hosts_with_one_secret_choose_the_same_salts(self):
        one, two = SaltTable("secret"), SaltTable("secret")
        self.assertEqual(one.salt(SCOPE, 3), two.salt(SCOPE, 3))
        self.assertNotEqual(one.salt(SCOPE, 3), SaltTable("other").salt(SCOPE, 3))


class CacheReaderRoleTest(TestCase):
    def readers(self, hosts, upstream_hall):
        found = []
        for name, hall in hosts:
            own = Member(name, hall, "")
            hall_peers = frozenset(
                other for other, other_hall in hosts if other_hall == hall
            ) - {name}
            peers = LivePeers(
                hall_peers, hall_peers, frozenset(other_hall for _, other_hall in hosts)
            )
            if is_cache_reader(own, "runner", upstream_hall, peers):
                found.append((name, hall))
        return found

    def test_one_host_of_the_upstreams_hall_reads(self):
        hosts = [(f"h{number}", f"hall-{number % 3}") for number in range(9)]
        (reader,) = self.readers(hosts, "hall-1")
        self.assertEqual("hall-1", reader[1])

    def test_one_of_all_hosts_reads_for_a_hall_without_hosts(self):
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
        self.scheduler.handle(TreeChanged(self.view), 0.0)
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

    def report(self, name, label, *changes):
        prefixes, tokens = zip(*changes, strict=True)
        event = CacheReported(name, (CacheChanges(label, prefixes, tokens),))
        self.scheduler.handle(event, 1.0)

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
    """Placement of a prompt, and the source from which its runner imports."""

    def test_prompt_is_placed_where_it_is_cached(self):
        self.report(
            "b", generation_label(CacheGeneration("b", 1)), (GUIDE, 2500), (THING, 3700)
        )
        self.assertEqual("b", self.arrive().upstream)

    def test_prompt_is_imported_from_a_busy_holder(self):
        self.report(
            "b", generation_label(CacheGeneration("b", 1)), (GUIDE, 2500), (THING, 3700)
        )
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
        self.report(
            "old",
            generation_label(CacheGeneration("old", 0)),
            (GUIDE, 2500),
            (THING, 3700),
        )
        holder = self.scheduler.upstreams.get("old")
        for number in range(64):
            holder.start(f"x{number}", 5000, 1.0)
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_store_is_queried_when_no_cache_is_known_to_hold_the_prompt(self):
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_shared_part_is_saved_once(self):
        self.assertEqual("10.9.0.1:1", self.arrive("r1").save_address)
        self.assertEqual("", self.arrive("r2").save_address)

    def test_entry_reported_by_the_store_is_not_saved_again(self):
        self.report(
            "kept", generation_label(store_generation(1)), (GUIDE, 2500), (THING, 3700)
        )
        dispatch = self.arrive()
        self.assertEqual("", dispatch.save_address)
        self.assertEqual(6200, dispatch.choice.imported_tokens)

    def test_prompt_is_saved_again_after_a_store_reset(self):
        self.report(
            "kept", generation_label(store_generation(1)), (GUIDE, 2500), (THING, 3700)
        )
        self.scheduler.handle(CacheReported("kept", (), is_reset=True), 2.0)
        self.assertEqual("10.9.0.1:1", self.arrive().save_address)

    def test_save_of_a_peer_is_not_repeated(self):
        other = Scheduler(
            parse_settings('[host]\nname = "f"\nhall = "h"\n', source="t")
        )
        other.pool.imports.apply(self.view.routes)
        self.arrive("r1")
        published = self.scheduler.summary(1, 1, False, 1.0).placed
        saved = [item for item in published if item.upstream == "kept"]
        self.assertEqual(1, len(saved))
        other.pool.imports.note_reported(saved[0], 1.0)
        self.assertIsNone(other.pool.imports.select_store(1, chain(), 1.0))


class LinkQueueTest(ImportCase):
    """Imports wait for transfers in progress, so short prompts are computed instead."""

    SHORT = (PromptPart(b"style", 100), PromptPart(b"own", 400))

    def setUp(self):
        super().setUp()
        # At 5.9 us per token the store's link is busy for 0.3 s.
        self.scheduler.pool.cache_transfers.begin(
            "x", CacheTransfer("kept", "a", 50_000)
        )

    def test_short_prompt_is_computed_instead(self):
        self.assertEqual("", self.arrive(parts=self.SHORT).import_address)

    def test_long_prompt_waits_for_its_import(self):
        self.assertEqual("10.9.0.1:1", self.arrive().import_address)

    def test_short_prompt_is_imported_over_an_idle_link(self):
        self.scheduler.pool.cache_transfers.end("x")
        dispatch = self.arrive(parts=self.SHORT)
        self.assertEqual("10.9.0.1:1", dispatch.import_address)

    def test_transfers_of_peers_are_published_and_counted(self):
        published = self.scheduler.summary(1, 1, False, 1.0).upstreams
        self.assertEqual(
            [("a", TRANSFERS_LABEL, 50_000), ("kept", TRANSFERS_LABEL, 50_000)],
            [
                (item.upstream, item.incarnation, item.waiting_tokens)
                for item in published
            ],
        )
        summary = Summary(1, 1, 1, False, [], published, [])
        self.scheduler.handle(PeerSummaryReceived("p", "h", 1, summary), 1.0)
        self.assertEqual(
            100_000, self.scheduler.pool.cache_transfers.waiting_tokens("kept")
        )

    def test_transfer_counts_until_the_answer_starts(self):
        dispatch = self.arrive("r1")
        cache_transfers = self.scheduler.pool.cache_transfers
        self.assertGreater(cache_transfers.waiting_tokens("kept"), 50_000)
        self.scheduler.handle(AttemptDelivered("r1", dispatch.attempt_id), 1.5)
        self.assertEqual(50_000, cache_transfers.waiting_tokens("kept"))


class CrossHallTransferTest(TestCase):
    def test_transfer_between_halls_takes_twice_as_long(self):
        source = ImportSource("s", "s:1", 5000, 1e-5, 1, hall="h")
        peers, far = source.seconds(0, "h"), source.seconds(0, "k")
        self.assertAlmostEqual(2 * (peers - SETUP_SECONDS), far - SETUP_SECONDS)
        self.assertEqual(0.0, source.seconds(5000, "k"))


class SeveralStoresTest(ImportCase):
    """Each prompt is saved to one of several stores, and any may be queried."""

    stores = tuple(
        KeptStore(f"kept-{hall}", f"{hall}:1", hall, 600_000, 25e9) for hall in "hij"
    )

    def setUp(self):
        super().setUp()
        first = self.arrive("first")
        self.store = "kept-" + first.save_address.partition(":")[0]
        self.address = first.save_address
        for name in "ab":
            self.report(
                name, generation_label(CacheGeneration(name, 1)), (GUIDE, 0), (THING, 0)
            )
        self.others = [store for store in self.stores if store.address != self.address]

    def test_prompt_is_saved_to_one_store_and_imported_from_it(self):
        dispatch = self.arrive()
        self.assertEqual("", dispatch.save_address)
        self.assertEqual(self.address, dispatch.import_address)

    def test_prompt_is_imported_from_the_store_that_reported_it(self):
        self.scheduler.handle(CacheReported(self.store, (), is_reset=True), 2.0)
        other = self.others[0]
        self.report(
            other.name,
            generation_label(store_generation(1)),
            (GUIDE, 2500),
            (THING, 3700),
        )
        dispatch = self.arrive()
        self.assertEqual(other.address, dispatch.import_address)
        self.assertEqual(6200, dispatch.choice.imported_tokens)

    def test_reset_of_one_store_does_not_affect_another(self):
        self.scheduler.handle(
            CacheReported(self.others[0].name, (), is_reset=True), 2.0
        )
        self.assertEqual("", self.arrive().save_address)

    def test_part_dropped_by_one_store_is_imported_from_another(self):
        label = generation_label(store_generation(1))
        self.report(self.store, label, (GUIDE, 2500), (THING, 3700))
        self.report(self.others[0].name, label, (GUIDE, 0), (THING, 0))
        self.assertEqual(self.address, self.arrive().import_address)
        self.assertEqual("", self.arrive("r2").save_address)
