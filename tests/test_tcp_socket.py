"""Tests of a socket that the event loop watches only while a read is expected."""

import asyncio
import socket

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_router.upstream._tcp_socket import TcpSocket

from .scripted import open_reset_connection


class TcpSocketTest(TestCase):
    def run_with(self, scenario):
        async def main():
            local, remote = socket.socketpair()
            local.setblocking(False)
            with remote:
                reader = TcpSocket(local)
                try:
                    await scenario(reader, remote)
                finally:
                    reader.close()

        anyio.run(main)

    def is_watched(self, reader):
        return reader._raw.fileno() in asyncio.get_running_loop()._selector.get_map()

    async def run_loop(self, count=5):
        for _ in range(count):
            await anyio.sleep(0)

    def test_bytes_arrive_in_order_before_end_of_stream(self):
        async def scenario(reader, remote):
            remote.send(b"one")
            self.assertEqual(b"one", await reader.receive())
            remote.send(b"two")
            remote.shutdown(socket.SHUT_WR)
            self.assertEqual(b"two", await reader.receive())
            self.assertEqual(b"", await reader.receive())

        self.run_with(scenario)

    def test_reset_that_a_write_has_met_is_no_end_of_stream(self):
        async def main():
            async with open_reset_connection(b"half") as reader:
                with self.assertRaises(OSError):
                    await reader.send(b"rest of the request", lambda: None)
                with self.assertRaises(OSError):
                    await reader.receive()

        anyio.run(main)

    def test_the_socket_stays_watched_between_two_reads(self):
        async def scenario(reader, remote):
            remote.send(b"one")
            await reader.receive()
            self.assertTrue(self.is_watched(reader))

        self.run_with(scenario)

    def test_unread_bytes_wake_the_loop_at_most_twice(self):
        async def scenario(reader, remote):
            remote.send(b"one")
            await reader.receive()
            remote.send(b"two")
            await self.run_loop()
            self.assertFalse(self.is_watched(reader))
            self.assertEqual(b"two", await reader.receive())

        self.run_with(scenario)

    def test_an_idle_socket_is_not_watched_but_shows_new_bytes(self):
        async def scenario(reader, remote):
            remote.send(b"one")
            await reader.receive()
            reader.unwatch()
            self.assertFalse(self.is_watched(reader))
            self.assertFalse(reader.is_readable())
            remote.send(b"late")
            self.assertTrue(reader.is_readable())
            self.assertEqual(b"late", await reader.receive())

        self.run_with(scenario)

    def test_a_cancelled_read_loses_no_bytes(self):
        async def scenario(reader, remote):
            with anyio.move_on_after(0):
                await reader.receive()
            remote.send(b"one")
            self.assertEqual(b"one", await reader.receive())

        self.run_with(scenario)


class ResetTest(TestCase):
    """A reset is no end of stream, whichever call the kernel reports it to."""

    def run_after_reset(self, scenario, unread=b""):
        """Run a scenario on a connection that was reset after some unread bytes."""

        async def main():
            async with open_reset_connection(b"half", unread) as reader:
                await scenario(reader)

        anyio.run(main)

    async def try_send(self, reader):
        with self.assertRaises(OSError):
            await reader.send(b"rest of the request", lambda: None)

    async def try_receive(self, reader):
        """Read to the end; return the bytes before the reset."""
        received = b""
        with self.assertRaises(OSError):
            while True:
                data = await reader.receive()
                self.assertNotEqual(b"", data)
                received += data
        return received

    def test_check_for_unread_bytes_does_not_consume_a_reset(self):
        async def scenario(reader):
            self.assertTrue(reader.has_unread())
            self.assertTrue(reader.is_readable())
            with self.assertRaises(ConnectionResetError):
                await reader.receive()

        self.run_after_reset(scenario)

    def test_reset_is_reported_again_by_each_read(self):
        async def scenario(reader):
            for _ in range(3):
                with self.assertRaises(ConnectionResetError):
                    await reader.receive()

        self.run_after_reset(scenario)

    @given(
        calls=st.lists(st.sampled_from(["check", "send", "receive", "unwatch"])),
        unread=st.sampled_from([b"", b"unread"]),
    )
    @settings(max_examples=60, derandomize=True, deadline=None)
    def test_no_order_of_calls_turns_a_reset_into_an_end(self, calls, unread):
        async def scenario(reader):
            received = b""
            for call in calls:
                if call == "check":
                    self.assertTrue(reader.has_unread())
                elif call == "send":
                    await self.try_send(reader)
                elif call == "unwatch":
                    reader.unwatch()
                else:
                    received += await self.try_receive(reader)
            received += await self.try_receive(reader)
            self.assertEqual(unread, received)

        self.run_after_reset(scenario, unread)

    def test_age_of_the_last_bytes_is_bounded_only_if_it_is_known(self):
        async def main():
            async with open_reset_connection(b"half") as reader:
                ages = [reader.max_data_age_seconds()]
            local, remote = socket.socketpair()
            remote.close()
            other = TcpSocket(local)
            ages.append(other.max_data_age_seconds())
            other.close()
            return [*ages, other.max_data_age_seconds(), reader.max_data_age_seconds()]

        known, *unknown = anyio.run(main)
        self.assertTrue(known > 0.0)
        self.assertEqual([None, None, None], unknown)

    def test_closed_connection_is_readable_without_a_reset(self):
        async def main():
            local, remote = socket.socketpair()
            local.setblocking(False)
            reader = TcpSocket(local)
            self.assertFalse(reader.has_unread())
            remote.close()
            self.assertTrue(reader.has_unread())
            self.assertEqual(b"", await reader.receive())
            reader.close()
            self.assertTrue(reader.has_unread())

        anyio.run(main)
