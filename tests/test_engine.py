"""The toy engine that tests and the soak send requests to: crashes while it loads."""

import anyio
from testtools import TestCase

from rampwick_standin import EngineSettings
from rampwick_standin._engine import (
    BLOCK_BYTES,
    BLOCK_TOKENS,
    BlockCache,
    CacheUse,
    Engine,
    EngineRequest,
)

from .bench import TEST_TIMEOUT_SECONDS

#: Turns of the loop after which what can go on without time has gone on.
TURNS_COUNT = 20


class CrashWhileLoadingTest(TestCase):
    """Symptom: an engine that the soak had crashed never came back.

    It answered each probe with status 500, or said for good that it was loading. The
    load of the life before went on in the new one: it handed back slots that nobody
    had taken, or waited for good for slots of a queue that was gone.
    """

    def play(self, before_crash):
        async def main():
            engine = Engine(EngineSettings(slots_count=2, load_seconds=0.0))
            async with anyio.create_task_group() as tasks:
                await before_crash(engine, tasks)
                tasks.start_soon(engine.load_weights, 2)
                await self.turn()
                engine.crash()
                await self.turn()
                states = [(engine.running_count, engine.role)]
                await engine.load_weights(3)
                states.append((engine.running_count, engine.role))
                tasks.cancel_scope.cancel()
            return engine, states

        return anyio.run(main)

    async def turn(self):
        for _ in range(TURNS_COUNT):
            await anyio.sleep(0)

    async def hold_all_slots(self, engine, tasks):
        """Fill the batch with answers that take for ever."""
        for number in range(engine.settings.slots_count):
            request = EngineRequest(f"a{number}", b"text", "s", 10**9, 0)
            engine.open_stream(request)
            tasks.start_soon(engine.run, request)
        await self.turn()

    def test_a_load_that_waits_for_the_batch_ends_with_its_life(self):
        engine, states = self.play(self.hold_all_slots)
        self.assertEqual([(0, "serve"), (0, "serve")], states)
        self.assertEqual(3, engine.weights_version)

    def test_a_load_under_way_ends_with_its_life(self):
        async def nothing(engine, tasks):
            engine.settings = EngineSettings(slots_count=2, load_seconds=0.05)

        engine, states = self.play(nothing)
        self.assertEqual([(0, "serve"), (0, "serve")], states)
        self.assertEqual(3, engine.weights_version)


class CrashBeforeRunTest(TestCase):
    def test_an_attempt_whose_life_ended_before_it_began_does_nothing(self):
        """It took all tasks of the engine with it: each request got status 500."""

        async def main():
            engine = Engine(EngineSettings())
            request = EngineRequest("a", b"text", "s", 2, 0)
            stream = engine.open_stream(request)
            engine.crash()
            await engine.run(request)
            return stream.tokens, engine.running_count

        self.assertEqual(([], 0), anyio.run(main))


class CrashWhileReadingTest(TestCase):
    """Symptom: an engine answered each probe with status 500 for good.

    It crashed while a prompt was read and another one waited to be. Both went on in
    the next life: the first gave back tokens of a sum that had begun anew, which fell
    below zero, and the second was read into the new cache.
    """

    def test_what_was_read_or_waited_ends_with_its_life(self):
        async def main():
            settings = EngineSettings(slots_count=2, prefill_tokens_per_second=100.0)
            engine = Engine(settings)
            async with anyio.create_task_group() as tasks:
                for name in "ab":
                    request = EngineRequest(name, b"text" * 8, "s", 2, 0)
                    engine.open_stream(request)
                    tasks.start_soon(engine.run, request)
                for _ in range(TURNS_COUNT):
                    await anyio.sleep(0)
                engine.crash()
            return engine

        engine = anyio.run(main)
        self.assertEqual(0, engine.waiting_tokens)
        self.assertEqual(0, engine.cache.use("s", b"text" * 8, 1).tokens)


class LoadsAtOnceTest(TestCase):
    def test_two_loads_follow_each_other(self):
        """Each took a part of the slots before, and waited for good for the rest."""

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


class CacheMakersTest(TestCase):
    def test_the_oldest_weights_that_computed_a_block_are_told(self):
        cache = BlockCache(1000)
        text = b"x" * BLOCK_BYTES * 2
        self.assertEqual(CacheUse(0, 1), cache.use("s", text[:BLOCK_BYTES], 1))
        self.assertEqual(CacheUse(BLOCK_TOKENS, 1), cache.use("s", text, 2))
        self.assertEqual(CacheUse(2 * BLOCK_TOKENS, 1), cache.use("s", text, 2))
        cache.clear()
        self.assertEqual(CacheUse(0, 2), cache.use("s", text, 2))
        self.assertEqual(CacheUse(2 * BLOCK_TOKENS, 2), cache.use("s", text, 2))
