"""Reading from a socket that the loop watches only while somebody asks for bytes."""

import asyncio
import socket

import anyio
from testtools import TestCase

from rampwick_router.upstream._tcp_socket import TcpSocket


class TcpSocketTest(TestCase):
    def run_with(self, scenario):
        async def main():
            near, far = socket.socketpair()
            near.setblocking(False)
            with far:
                reader = TcpSocket(near)
                try:
                    await scenario(reader, far)
                finally:
                    reader.close()

        anyio.run(main)

    def is_watched(self, reader):
        return reader._raw.fileno() in asyncio.get_running_loop()._selector.get_map()

    async def turn(self, count=5):
        for _ in range(count):
            await anyio.sleep(0)

    def test_bytes_come_in_their_order_and_then_the_end(self):
        async def scenario(reader, far):
            far.send(b"one")
            self.assertEqual(b"one", await reader.receive())
            far.send(b"two")
            far.shutdown(socket.SHUT_WR)
            self.assertEqual(b"two", await reader.receive())
            self.assertEqual(b"", await reader.receive())

        self.run_with(scenario)

    def test_it_stays_watched_between_two_reads(self):
        async def scenario(reader, far):
            far.send(b"one")
            await reader.receive()
            self.assertTrue(self.is_watched(reader))

        self.run_with(scenario)

    def test_bytes_that_nobody_asks_for_keep_the_loop_busy_for_two_turns_only(self):
        async def scenario(reader, far):
            far.send(b"one")
            await reader.receive()
            far.send(b"two")
            await self.turn()
            self.assertFalse(self.is_watched(reader))
            self.assertEqual(b"two", await reader.receive())

        self.run_with(scenario)

    def test_one_that_rests_is_not_watched_but_shows_news(self):
        async def scenario(reader, far):
            far.send(b"one")
            await reader.receive()
            reader.unwatch()
            self.assertFalse(self.is_watched(reader))
            self.assertFalse(reader.is_readable())
            far.send(b"late")
            self.assertTrue(reader.is_readable())
            self.assertEqual(b"late", await reader.receive())

        self.run_with(scenario)

    def test_a_read_that_is_broken_off_loses_nothing(self):
        async def scenario(reader, far):
            with anyio.move_on_after(0):
                await reader.receive()
            far.send(b"one")
            self.assertEqual(b"one", await reader.receive())

        self.run_with(scenario)
