"""Requests that must not run twice, on idle connections whose neighbours are silent."""

from functools import partial

import anyio
from testtools import TestCase

from rampwick_router.upstream import UpstreamClient
from rampwick_router.upstream._connection_pool import REQUEST, ConnectionPool

from .bench import until
from .scripted import run_routed

TEST_TIMEOUT_SECONDS = 30.0

#: Connections that are idle when they fall silent.
COUNT = 4


class SilentNeighbourTest(TestCase):
    """Each request on such a connection waited for its deadline."""

    def test_idle_connections_beside_a_silent_one_are_not_lent(self):
        silent = set()
        gate = anyio.Event()
        count = 0

        async def answer(exchange):
            """Answer once all callers' requests are here, unless silent."""
            nonlocal count
            if exchange.stream in silent:
                await anyio.sleep_forever()
            if "/once/" in exchange.target:
                count += 1
                if count == COUNT:
                    gate.set()
                await gate.wait()
            await exchange.answer()

        async def main():
            nonlocal gate, count
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a"]}) as (host, found):
                    upstream = found["a"]
                    upstream.scripts = [answer]
                    before = await self.call_all(host, "before")
                    silent.update(item.stream for item in upstream.requests)
                    gate, count = anyio.Event(), 0
                    pool = host.daemon._connection_pool
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(host.call, "/once/0")
                        # A probe on a new connection answers, and stays idle itself.
                        await until(lambda: pool.idle_count("a") <= 1)
                        after = await self.call_all(host, "after")
                        tasks.cancel_scope.cancel()
                    return before, after

        self.assertEqual(([200] * COUNT, [200] * COUNT), anyio.run(main))

    async def call_all(self, host, name):
        """Send calls that must not run twice, at the same time; return the statuses."""
        statuses = []

        async def call(index):
            request_id = f"{name}-{index}"
            view = await host.call(f"/once/{request_id}", request_id=request_id)
            statuses.append(view.status)

        async with anyio.create_task_group() as tasks:
            for index in range(COUNT):
                tasks.start_soon(call, index)
        return statuses


class SilentUpstreamsTest(TestCase):
    """The last attempt of a request went from one silent connection to another."""

    def test_attempt_after_a_silent_one_is_sent_on_a_new_connection(self):
        silent = set()
        both_busy = anyio.Event()

        async def answer(exchange):
            if exchange.stream in silent:
                await anyio.sleep_forever()
            await both_busy.wait()
            await exchange.answer()

        async def main():
            nonlocal both_busy
            both_busy = anyio.Event()
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed(
                    {"labels": ["a", "b"]}, retry="silence_timeout_seconds = 0.3"
                ) as (host, found):
                    for upstream in found.values():
                        upstream.scripts = [answer]
                    async with anyio.create_task_group() as tasks:
                        for name in ("r0", "r1"):
                            call = partial(host.call, "/again/0", request_id=name)
                            tasks.start_soon(call)
                        await until(
                            lambda: all(item.requests for item in found.values())
                        )
                        both_busy.set()
                    for upstream in found.values():
                        silent.update(item.stream for item in upstream.requests)
                    response = await host.call("/again/last", request_id="last")
                    return response.status

        self.assertEqual(200, anyio.run(main))


class FakeSocket:
    """A socket on which a response may arrive at any time."""

    sent_bytes_count = 0

    def __init__(self, data=b""):
        self.data = data
        self.is_closed = False

    async def send(self, data, before_write):
        before_write()
        self.sent_bytes_count += len(data)

    async def receive(self):
        return b"HTTP/1.1 204 No\r\n\r\n"

    def is_readable(self):
        return False

    def unwatch(self):
        pass

    def discard_unsent(self):
        pass

    def close(self):
        self.is_closed = True


class PoolTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 10.0
        self.pool = ConnectionPool(lambda: self.now_seconds)
        self.pool._connect = self.connect

    async def connect(self, upstream, address, path):
        return FakeSocket()

    async def use(self, connection):
        await connection.send("GET", "/", [(b"host", b"u")], b"")
        await connection.receive_head()
        async for _ in connection.receive_chunks():
            pass

    async def leave_idle(self, count):
        """Leave connections idle that have answered at this time."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self.use_one)

    async def use_one(self, upstream="u", **options):
        async with self.pool.borrow(upstream, "u:1", **options) as connection:
            await anyio.sleep(0)
            await self.use(connection)

    def play(self, scenario):
        anyio.run(scenario)

    def test_only_connections_without_a_later_answer_are_closed(self):
        async def scenario():
            await self.leave_idle(4)
            self.now_seconds = 11.0
            async with self.pool.borrow("u", "u:1") as connection:
                await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.now_seconds = 11.4
                await self.use_one()
                self.now_seconds = 11.5
                self.pool.note_silent(connection)
                self.assertEqual(3, self.pool.idle_count("u"))
                # Only a new connection shows that the upstream is not silent itself.
                await self.use_one()
                self.assertEqual(3, self.pool.idle_count("u"))
                await self.use_one(may_reuse=False)
                self.assertEqual(2, self.pool.idle_count("u"))
                connection.close()

        self.play(scenario)

    def test_connections_that_may_be_silent_are_not_lent_at_the_limit_either(self):
        async def scenario():
            await self.leave_idle(3)
            self.now_seconds = 11.0
            async with self.pool.borrow("u", "u:1") as connection:
                await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.now_seconds = 11.5
                self.pool.note_silent(connection)
                async with self.pool.borrow("u", "u:1") as other:
                    self.assertEqual(0, other.requests_count)
                    other.close()
                async with self.pool.borrow("u", "u:1", max_count=3) as other:
                    self.assertEqual(0, other.requests_count)
                    self.assertEqual(1, self.pool.idle_count("u"))
                    other.close()
                connection.close()

        self.play(scenario)

    def test_connections_idle_since_before_a_stall_are_closed_after_an_answer(self):
        async def scenario():
            await self.leave_idle(2)
            self.now_seconds = 11.0
            async with self.pool.borrow("u", "u:1", may_reuse=False) as connection:
                await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.now_seconds = 12.5
                self.pool.note_stalled(connection, silent_seconds=1.2)
                await self.use_one(may_reuse=False)
                self.assertEqual(1, self.pool.idle_count("u"))
                connection.close()

        self.play(scenario)

    def test_a_new_connection_without_an_answer_says_nothing_about_others(self):
        async def scenario():
            await self.leave_idle(2)
            self.now_seconds = 11.0
            async with self.pool.borrow("u", "u:1", may_reuse=False) as connection:
                await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.pool.note_silent(connection)
                await self.use_one(may_reuse=False)
                self.assertEqual(3, self.pool.idle_count("u"))
                connection.close()

        self.play(scenario)

    def test_later_doubt_takes_nothing_back_from_an_earlier_one(self):
        async def scenario():
            self.now_seconds = 9.5
            await self.leave_idle(2)
            self.now_seconds = 10.0
            async with self.pool.borrow("u", "u:1") as connection:
                await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.now_seconds = 10.5
                self.pool.note_silent(connection)
                # The body of another response has been silent since before.
                self.pool.note_stalled(connection, silent_seconds=1.2)
                async with self.pool.borrow("u", "u:1") as other:
                    self.assertEqual(0, other.requests_count)
                    other.close()
                connection.close()

        self.play(scenario)

    def test_two_silent_upstreams_put_the_others_in_doubt(self):
        async def scenario():
            for upstream in ("u", "v", "w", "x"):
                await self.use_one(upstream)
            self.now_seconds = 11.0
            async with (
                self.pool.borrow("u", "u:1") as first,
                self.pool.borrow("v", "u:1") as second,
            ):
                for connection in (first, second):
                    await connection.send("GET", "/", [(b"host", b"u")], b"")
                self.now_seconds = 11.5
                self.pool.note_silent(first)
                async with self.pool.borrow("w", "u:1") as other:
                    self.assertEqual(1, other.requests_count)
                    other.close()
                self.pool.note_silent(second)
                async with self.pool.borrow("x", "u:1") as other:
                    self.assertEqual(0, other.requests_count)
                    other.close()
                for connection in (first, second):
                    connection.close()

        self.play(scenario)

    def test_stream_is_resumed_on_a_new_connection(self):
        async def scenario():
            client = UpstreamClient(self.pool, 10.0, 65_536)
            await self.leave_idle(1)
            resumed = client.resume_stream("u:1", "u", "r1.1", 3, is_chat=True)
            async with resumed:
                self.assertEqual({REQUEST: 2}, self.pool.opened_counts())

        self.play(scenario)
