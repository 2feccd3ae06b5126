"""Isolation of cached entries by engine incarnation, workspace and weights version."""

from unittest import mock

import anyio
import httpx
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    CacheGeneration,
    PrefixCacheIndex,
    Scope,
    build_chain,
    cache_salt,
)
from rampwick_schema import Order, PlacedPrefix, unstructure
from rampwick_standin import EngineFaults

from .bench import KEY, OTHER_KEY, until
from .case import ScenarioCase
from .history import check_cache

GUIDE = "a long guide that all share. " * 100

OLD = CacheGeneration("run-1", 1)
NEW = CacheGeneration("run-2", 1)


def chain_of(text, workspace="/w", model="m", adapter=""):
    scope = Scope(workspace, model, adapter)
    return build_chain(scope, text.encode(), block_bytes=64, bytes_per_token=4.0)


class EndToEndTest(ScenarioCase):
    def test_same_text_in_two_workspaces_shares_nothing(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                for key in (KEY, KEY, OTHER_KEY):
                    await host.stream(GUIDE, key=key)
            return bench.attempts()

        first, second, other = self.run_scenario(scenario)
        self.assertEqual(0, first.cached_tokens)
        self.assertGreater(second.cached_tokens, 0)
        self.assertEqual(0, other.cached_tokens)
        self.assertNotEqual(second.salt, other.salt)

    def test_salt_without_the_workspace_is_detected(self):
        def salt(scope, weights_version, secret):
            return "constant"

        with mock.patch("rampwick_router.entry._model_exchange.cache_salt", salt):
            self.assertRaises(
                AssertionError,
                self.test_same_text_in_two_workspaces_shares_nothing,
            )

    def roll_out(self):
        """Return the answers and attempts of a burst during a rollout.

        The engine wrongly keeps its cache when it loads new weights.
        """

        async def scenario(bench):
            runner = bench.add_runner("lektor-1", load_seconds=0.05)
            # Unlike a correct engine, this one keeps its cache when it loads weights.
            runner.engine.faults = EngineFaults(keeps_cache=True)
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")
                seen = []

                async def ask(number):
                    seen.append(await host.stream(f"{GUIDE} {number}", max_tokens=8))

                for number in range(30):
                    tasks.start_soon(ask, number)
                    if number == 15:
                        order = unstructure(Order(1, weights_version=2))
                        url = f"http://{bench.entries['lektor-1'].address}/orders"
                        async with httpx.AsyncClient(trust_env=False) as client:
                            await client.put(url, json=order)
                    await anyio.sleep(0.005)
                await until(lambda: len(seen) == 30)
                await until(lambda: runner.engine.weights_version == 2)
                await until(lambda: weights_at(host) == 2)
                seen.append(await host.stream(GUIDE))
            # Callers received the answer of each request's last attempt; the answer of
            # a stale attempt is discarded.
            last = {attempt.text: attempt for attempt in bench.attempts()}
            whole = {saw.prompt.encode() for saw in seen if saw.is_whole}
            return seen, [last[text] for text in last if text in whole]

        return self.run_scenario(scenario)

    def test_rollout_in_the_middle_of_a_burst(self):
        seen, attempts = self.roll_out()
        self.assertTrue(all(saw.is_whole for saw in seen), seen)
        self.assert_holds(check_cache(attempts))
        self.assertEqual({1, 2}, {attempt.weights_version for attempt in attempts})

    def test_salt_without_the_weights_is_detected(self):
        def salt(scope, weights_version, secret):
            return cache_salt(scope, 0, secret)

        with mock.patch("rampwick_router.entry._model_exchange.cache_salt", salt):
            _, attempts = self.roll_out()
        self.assertNotEqual([], check_cache(attempts))

    def test_restarted_engine_with_an_empty_cache_is_a_new_generation(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                await host.stream(GUIDE)
                cache_index = host.daemon.scheduler._scheduler.cache_index
                self.assertGreater(cache_index.entries_count(), 0)
                old = host.upstream("lektor-1").cache_generation
                runner.engine.crash()
                await until(
                    lambda: (
                        host.upstream("lektor-1").cache_generation not in (old, None)
                    )
                )
                self.assertEqual(0, cache_index.entries_count())
                saw = await host.stream(GUIDE + "again")
            self.assertTrue(saw.is_whole)
            return bench.attempts()

        attempts = self.run_scenario(scenario)
        self.assertEqual(0, attempts[-1].cached_tokens)


def weights_at(host):
    """Return the weights version of the runner as known to a host."""
    generation = host.upstream("lektor-1").cache_generation
    return generation.weights_version if generation else None


class PrefixCacheIndexTest(TestCase):
    def make_index(self):
        cache_index = PrefixCacheIndex(1000)
        cache_index.observe_generation("r", OLD, 100_000)
        chain = chain_of(GUIDE)
        cache_index.note_prompt("r", OLD, chain)
        return cache_index, chain

    def test_new_generation_drops_all_entries(self):
        cache_index, chain = self.make_index()
        self.assertGreater(cache_index.cached_tokens("r", chain), 0)
        cache_index.observe_generation("r", NEW, 100_000)
        self.assertEqual(0, cache_index.cached_tokens("r", chain))

    def test_late_report_of_an_old_generation_is_ignored(self):
        cache_index, chain = self.make_index()
        cache_index.observe_generation("r", NEW, 100_000)
        prefixes = [checkpoint.prefix for checkpoint in chain.checkpoints]
        late = PlacedPrefix("r", "run-1/1", prefixes, [16] * len(prefixes))
        cache_index.note_reported(late)
        cache_index.note_prompt("r", OLD, chain)
        self.assertEqual(0, cache_index.cached_tokens("r", chain))

    def test_other_weights_are_another_generation(self):
        cache_index, chain = self.make_index()
        cache_index.observe_generation("r", CacheGeneration("run-1", 2), 100_000)
        self.assertEqual(0, cache_index.cached_tokens("r", chain))

    def test_entries_are_bounded(self):
        cache_index = PrefixCacheIndex(50)
        cache_index.observe_generation("r", OLD, 10**9)
        for number in range(100):
            cache_index.note_prompt("r", OLD, chain_of(f"{number} " * 400))
        self.assertLessEqual(cache_index.entries_count(), 50)

    def test_least_recently_used_prompt_is_assumed_evicted(self):
        cache_index = PrefixCacheIndex(1000)
        prompts = [chain_of(f"{number} " * 400) for number in range(4)]
        cache_index.observe_generation("r", OLD, prompts[0].total_tokens * 2)
        for prompt in prompts:
            cache_index.note_prompt("r", OLD, prompt)
        self.assertEqual(0, cache_index.cached_tokens("r", prompts[0]))
        self.assertGreater(cache_index.cached_tokens("r", prompts[3]), 0)


TEXTS = st.text("ab", min_size=0, max_size=600)


class PrefixTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(TEXTS, TEXTS, TEXTS)
    def test_common_checkpoints_mean_a_common_prefix(self, shared, one, two):
        first, second = chain_of(shared + one), chain_of(shared + two)
        depths = {item.prefix: item.tokens for item in first.checkpoints}
        for checkpoint in second.checkpoints:
            if checkpoint.prefix in depths:
                self.assertEqual(depths[checkpoint.prefix], checkpoint.tokens)
                length = checkpoint.tokens * 4
                self.assertEqual((shared + one)[:length], (shared + two)[:length])

    @settings(derandomize=True, deadline=None)
    @given(st.text("ab", min_size=64, max_size=300))
    def test_scopes_share_no_prefix(self, text):
        chains = [
            chain_of(text),
            chain_of(text, workspace="/v"),
            chain_of(text, model="n"),
            chain_of(text, adapter="x"),
        ]
        prefixes = [item.prefix for chain in chains for item in chain.checkpoints]
        self.assertEqual(len(prefixes), len(set(prefixes)))

    def test_salts_differ_by_workspace_and_weights(self):
        scopes = [Scope("/a", "m"), Scope("/b", "m")]
        salts = {
            cache_salt(scope, weights, "s") for scope in scopes for weights in (1, 2)
        }
        self.assertEqual(4, len(salts))
