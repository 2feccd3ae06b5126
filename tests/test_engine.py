"""The simulated engine of tests and soak runs, mostly crashes at awkward times."""

import anyio
from testtools import TestCase

from rampwick_standin import EngineSettings
from rampwick_standin._engine import (
    BLOCK_BYTES,
    BLOCK_TOKENS,
    BlockCache,
    CacheLookup,
    Engine,
    EngineRequest,
)

from .bench import TEST_TIMEOUT_SECONDS

#: Event loop cycles after which every task that needs no time to pass has run.
LOOP_CYCLES_COUNT = 20


class CrashWhileLoadingTest(TestCase):
    """Guards against an engine that never serves again after a crash in a soak run.

    It answered every probe with status 500, or stayed in role "loading". The load
    started before the crash continued in the new incarnation: it released slots that
    were not acquired, or waited forever for slots of the discarded queue.
    """

    def run_crash(self, before_crash):
        async def main():
            engine = Engine(EngineSettings(slots_count=2, load_seconds=0.0))
            async with anyio.create_task_group() as tasks:
                await before_crash(engine, tasks)
                tasks.start_soon(engine.load_weights, 2)
                await self.run_event_loop()
                engine.crash()
                await self.run_event_loop()
                states = [(engine.running_count, engine.role)]
                await engine.load_weights(3)
                states.append((engine.running_count, engine.role))
                tasks.cancel_scope.cancel()
            return engine, states

        return anyio.run(main)

    async def run_event_loop(self):
        for _ in range(LOOP_CYCLES_COUNT):
            await anyio.sleep(0)

    async def hold_all_slots(self, engine, tasks):
        """Fill the batch with requests that never finish."""
        for number in range(engine.settings.slots_count):
            request = EngineRequest(f"a{number}", b"text", "s", 10**9, 0)
            engine.open_stream(request)
            tasks.start_soon(engine.run, request)
        await self.run_event_loop()

    def test_crash_cancels_a_load_that_waits_for_the_batch(self):
        engine, states = self.run_crash(self.hold_all_slots)
        self.assertEqual([(0, "serve"), (0, "serve")], states)
        self.assertEqual(3, engine.weights_version)

    def test_crash_cancels_a_running_load(self):
        async def no_requests(engine, tasks):
            engine.settings = EngineSettings(slots_count=2, load_seconds=0.05)

        engine, states = self.run_crash(no_requests)
        self.assertEqual([(0, "serve"), (0, "serve")], states)
        self.assertEqual(3, engine.weights_version)


class CrashBeforeRunTest(TestCase):
    def test_attempt_accepted_before_a_crash_is_not_run(self):
        """The error cancelled all tasks of the engine; every request got status 500."""

        async def main():
            engine = Engine(EngineSettings())
            request = EngineRequest("a", b"text", "s", 2, 0)
            stream = engine.open_stream(request)
            engine.crash()
            await engine.run(request)
            return stream.tokens, engine.running_count

        self.assertEqual(([], 0), anyio.run(main))


class CrashDuringPrefillTest(TestCase):
    """Guards against an engine that answers every probe with status 500 after a crash.

    It crashed during the prefill of a prompt while another one waited. Both continued
    in the next incarnation: the first subtracted its tokens from a counter that had
    been reset, which became negative, and the second was inserted into the new cache.
    """

    def test_crash_cancels_running_and_waiting_prefills(self):
        async def main():
            settings = EngineSettings(slots_count=2, prefill_tokens_per_second=100.0)
            engine = Engine(settings)
            async with anyio.create_task_group() as tasks:
                for name in "ab":
                    request = EngineRequest(name, b"text" * 8, "s", 2, 0)
                    engine.open_stream(request)
                    tasks.start_soon(engine.run, request)
                for _ in range(LOOP_CYCLES_COUNT):
                    await anyio.sleep(0)
                engine.crash()
            return engine

        engine = anyio.run(main)
        self.assertEqual(0, engine.waiting_tokens)
        self.assertEqual(0, engine.cache.use("s", b"text" * 8, 1).tokens)


class ConcurrentLoadsTest(TestCase):
    def test_concurrent_loads_run_one_after_the_other(self):
        """Each load acquired some of the slots and waited forever for the others."""

        async def main():
            engine = Engine(EngineSettings(slots_count=3, load_seconds=0.0))
            requests = [EngineRequest(name, b"text", "s", 2, 0) for name in "ab"]
            for request in requests:
                engine.open_stream(request)
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    for request in requests:
                        tasks.start_soon(engine.run, request)
                    await anyio.sleep(0)
                    tasks.start_soon(engine.load_weights, 2)
                    tasks.start_soon(engine.load_weights, 3)
            return engine

        engine = anyio.run(main)
        self.assertEqual((3, "serve"), (engine.weights_version, engine.role))
        self.assertEqual(0, engine.running_count)


class CachedWeightsVersionTest(TestCase):
    def test_lookup_returns_the_oldest_weights_version(self):
        cache = BlockCache(1000)
        text = b"x" * BLOCK_BYTES * 2
        self.assertEqual(CacheLookup(0, 1), cache.use("s", text[:BLOCK_BYTES], 1))
        self.assertEqual(CacheLookup(BLOCK_TOKENS, 1), cache.use("s", text, 2))
        self.assertEqual(CacheLookup(2 * BLOCK_TOKENS, 1), cache.use("s", text, 2))
        cache.clear()
        self.assertEqual(CacheLookup(0, 2), cache.use("s", text, 2))
        self.assertEqual(CacheLookup(2 * BLOCK_TOKENS, 2), cache.use("s", text, 2))
