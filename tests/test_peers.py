"""Tests of connections between hosts: encoding, handshake and malformed input."""

import zlib

import anyio
import msgpack
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import Member
from rampwick_router._errors import PeerError
from rampwick_router._metrics import Metrics
from rampwick_router.peers._stream import MAX_UNSENT_BYTES, PeerStream
from rampwick_schema import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    Change,
    ChangesReply,
    Compressed,
    Hello,
    MemberRecord,
    Members,
    MessageError,
    Node,
    NodeEdit,
    PlacedPrefix,
    RolloutUpdate,
    SettingsError,
    Summary,
    Tree,
    TreeReply,
    WaitingCount,
    WeightsTarget,
    WorkspaceUsage,
    compress_message,
    decode_message,
    encode_message,
    parse_settings,
)
from rampwick_schema._wire import MAX_DECOMPRESSED_BYTES

from .bench import SECRET, until
from .case import ScenarioCase

TEXT = st.text(max_size=20)
SUMMARIES = st.builds(
    Summary,
    sequence=st.integers(0, 2**40),
    revision=st.integers(0, 2**40),
    host_list_version=st.integers(-1, 2**40),
    is_leaving=st.booleans(),
    workspaces=st.lists(
        st.builds(WorkspaceUsage, TEXT, st.integers(0, 10**9)), max_size=3
    ),
    upstreams=st.just([]),
    waiting=st.lists(
        st.builds(WaitingCount, TEXT, TEXT, st.integers(0, 10**6)), max_size=3
    ),
    placed=st.lists(
        st.builds(
            PlacedPrefix,
            TEXT,
            TEXT,
            st.lists(st.binary(min_size=8, max_size=8), max_size=3),
            st.lists(st.integers(0, 10**6), max_size=3),
        ),
        max_size=3,
    ),
)

MEMBER = MemberRecord("front-1", "hall", "10.0.0.1:7000", 5, 10.0)


class WireTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(SUMMARIES)
    def test_messages_survive_a_round_trip(self, summary):
        data = encode_message(summary)
        self.assertEqual(len(data) - LENGTH_BYTES, int.from_bytes(data[:4], "big"))
        self.assertEqual(summary, decode_message(data[LENGTH_BYTES:]))

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_decode_or_raise_message_error(self, data):
        try:
            decode_message(data, peer="unknown peer")
        except MessageError as error:
            self.assertEqual("unknown peer", error.peer)

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(SUMMARIES, st.data())
    def test_corrupted_messages_decode_or_raise_message_error(self, summary, data):
        body = bytearray(encode_message(summary)[LENGTH_BYTES:])
        for _ in range(data.draw(st.integers(1, 4))):
            at = data.draw(st.integers(0, len(body) - 1))
            body[at] = data.draw(st.integers(0, 255))
        try:
            decode_message(bytes(body))
        except MessageError:
            return

    @given(SUMMARIES)
    def test_compressed_messages_decode_to_what_was_compressed(self, summary):
        many = Members([MEMBER] * 40)
        for message in (summary, many):
            data = compress_message(encode_message(message))
            self.assertEqual(message, decode_message(data[LENGTH_BYTES:]))
        self.assertTrue(len(data) < len(encode_message(many)) / 4)

    def test_invalid_compressed_messages_raise_message_error(self):
        whole = zlib.compress(encode_message(Members([MEMBER]))[LENGTH_BYTES:])
        nested = encode_message(Compressed(whole))[LENGTH_BYTES:]
        bomb = bytes(4 * MAX_DECOMPRESSED_BYTES)
        for data in (
            b"",
            b"x",
            whole[:-1],
            whole + b"x",
            zlib.compress(nested),
            zlib.compress(bomb),
        ):
            message = encode_message(Compressed(data))[LENGTH_BYTES:]
            self.assertRaises(MessageError, decode_message, message)

    def test_unknown_trailing_fields_are_ignored(self):
        body = msgpack.packb([2, b"digest", "unknown field"])
        self.assertEqual(b"digest", decode_message(body).digest)

    def test_missing_trailing_fields_take_their_defaults(self):
        """Hosts of two releases exchange messages during an upgrade of the fleet.

        Without defaults, a message from the previous release could not be decoded. Each
        link between hosts of two releases closed at the first such message, and was
        dialled and closed again.
        """
        update = RolloutUpdate("h", 7, [WeightsTarget("m", 2)], [], [])
        whole = msgpack.unpackb(encode_message(update)[LENGTH_BYTES:])
        self.assertEqual([], whole.pop())
        self.assertEqual(update, decode_message(msgpack.packb(whole)))
        # A field without a default is required.
        self.assertRaises(MessageError, decode_message, msgpack.packb(whole[:-1]))

    def test_integers_are_accepted_as_floats_and_nothing_else_is_coerced(self):
        named = [15, "h", 7, [], [], [], [["m", 2, 1]]]
        (age,) = decode_message(msgpack.packb(named)).named
        self.assertIs(float, type(age.age_seconds))
        for wrong in (True, "1", None, [1]):
            named[-1] = [["m", 2, wrong]]
            self.assertRaises(MessageError, decode_message, msgpack.packb(named))
        for wrong in ("m", {"m": 1}, 5):
            named[-1] = wrong
            self.assertRaises(MessageError, decode_message, msgpack.packb(named))

    def test_trees_and_changes_survive_a_round_trip(self):
        tree = TreeReply(Tree(3, {"/": Node(), "/a": Node(weight=2.0)}))
        self.assertEqual(tree, decode_message(encode_message(tree)[LENGTH_BYTES:]))
        change = Change(4, "w", "a", 1.0, [NodeEdit("/a", None)])
        reply = ChangesReply([change])
        self.assertEqual(reply, decode_message(encode_message(reply)[LENGTH_BYTES:]))


class HandshakeTest(ScenarioCase):
    async def dial(self, host, secret, name="entry-9"):
        stream = await PeerStream.connect(host.addresses.peer, 10_000, Metrics())
        identity = Member(name, "trnava", "127.0.0.1:1", 1)
        return stream, await stream.handshake(identity, secret)

    def test_peer_without_the_secret_is_rejected(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                try:
                    await self.dial(host, "another secret")
                except PeerError as error:
                    return error.message, host.daemon.scheduler._scheduler.peers

        message, peers = self.run_scenario(scenario)
        self.assertTrue("wrong secret" in message or "closed" in message, message)
        self.assertEqual({}, peers._views)

    def test_malformed_messages_close_only_their_connection(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                address, _, port = host.addresses.peer.rpartition(":")
                for junk in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0\0\0\1\xc1"):
                    async with await anyio.connect_tcp(address, int(port)) as raw:
                        await raw.send(junk)
                stream, peer = await self.dial(host, SECRET)
                self.assertEqual("entry-1", peer.name)
                # A second Hello is not allowed after the handshake.
                await stream.send(Hello(PROTOCOL_VERSION, "x", "y", 1, b"0" * 16))
                with anyio.move_on_after(5):
                    try:
                        while True:
                            await stream.receive()
                    except PeerError:
                        pass
                return (await host.complete()).status_code

        self.assertEqual(200, self.run_scenario(scenario))

    def test_hosts_discover_each_other_and_detect_a_stopped_peer(self):
        async def scenario(bench):
            async with bench.run_host("entry-1") as one:
                peers = one.daemon.scheduler._scheduler.peers
                async with bench.run_host("entry-2"):
                    await until(lambda: "entry-2" in peers._views)
                await until(lambda: "entry-2" not in peers._views)

        self.run_scenario(scenario)


class RecordingTransport:
    """Records what a stream writes; its peer never reads."""

    def __init__(self):
        self.written = []
        self.written_bytes = 0
        self.is_aborted = False
        self.is_paused = False

    def write(self, data):
        self.written.append(data)
        self.written_bytes += len(data)

    def get_write_buffer_size(self):
        return self.written_bytes

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class StreamIterationsTest(TestCase):
    """Messages are handled in the loop iteration in which their bytes arrive.

    Separate tasks for each direction of each link took four iterations per message: a
    relay of 20 hosts took 280 iterations per second while idle.
    """

    def play(self, scenario):
        async def main():
            stream = PeerStream(10_000, Metrics())
            transport = RecordingTransport()
            stream.connection_made(transport)
            stream.peer = "entry-2"
            await scenario(stream, transport)

        anyio.run(main)

    async def deliver(self, stream, received, tasks):
        tasks.start_soon(stream.deliver, received.append)
        await anyio.sleep(0)

    def test_messages_are_delivered_and_written_immediately(self):
        async def scenario(stream, transport):
            received = []
            async with anyio.create_task_group() as tasks:
                await self.deliver(stream, received, tasks)
                data = encode_message(Members([]))
                stream.data_received(data + data[:2])
                self.assertEqual([Members([])], received)
                stream.data_received(data[2:])
                self.assertEqual(2, len(received))
                self.assertTrue(stream.put(data))
                self.assertEqual([data], transport.written)
                tasks.cancel_scope.cancel()

        self.play(scenario)

    def test_messages_to_a_slow_peer_are_dropped(self):
        async def scenario(stream, transport):
            data = encode_message(Members([]))
            sent_count = sum(stream.put(data) for _ in range(MAX_UNSENT_BYTES))
            self.assertLess(sent_count * len(data), 2 * MAX_UNSENT_BYTES)
            self.assertFalse(stream.put(data))

        self.play(scenario)

    def test_nothing_is_written_to_a_connection_that_is_lost(self):
        async def scenario(stream, transport):
            transport.abort()
            self.assertFalse(stream.put(encode_message(Members([]))))
            self.assertEqual([], transport.written)

        self.play(scenario)

    def test_a_malformed_message_raises_from_deliver(self):
        ended = []

        async def deliver(stream):
            try:
                await stream.deliver(ended.append)
            except PeerError as error:
                ended.append(error)

        async def scenario(stream, transport):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(deliver, stream)
                await anyio.sleep(0)
                stream.data_received(b"\0\0\0\1\xc1")
            self.assertTrue(transport.is_aborted)

        self.play(scenario)
        (error,) = ended
        self.assertIsInstance(error, PeerError)

    def test_an_oversized_outgoing_message_closes_only_its_stream(self):
        async def scenario(stream, transport):
            self.assertFalse(stream.put(b"x" * 20_000))
            self.assertTrue(transport.is_aborted)
            self.assertFalse(stream.put(encode_message(Members([]))))
            self.assertEqual([], transport.written)

        self.play(scenario)

    def test_buffering_before_the_handshake_is_bounded(self):
        async def scenario(stream, transport):
            stream.data_received(b"\0" * 100_000)
            self.assertTrue(transport.is_paused)

        self.play(scenario)


class SettingsTest(TestCase):
    def error(self, text):
        head = '[host]\nname = "a"\nhall = "h"\n'
        found = self.assertRaises(
            SettingsError, parse_settings, head + text, source="a.toml"
        )
        return str(found)

    def test_errors_name_file_key_value_and_allowed_values(self):
        cases = {
            "[retry]\nramp = 4": ("a.toml", "retry.ramp", "ramp_start_ratio"),
            "[retry]\nbudget_ratio = 7": ("budget_ratio", "7", "0.0 to 1.0"),
            "[retry]\nbudget_ratio = nan": ("budget_ratio", "nan"),
            '[listen]\nentry_port = "80"': ("entry_port", "'80'", "whole number"),
            "[life]\nbalancer_delay = 3": ("balancer_delay_seconds",),
            "[peers]\nseeds = [1]": ("peers.seeds.0", "string"),
            "[nothing]\n": ("nothing", "unknown"),
        }
        for text, parts in cases.items():
            message = self.error(text)
            for part in parts:
                self.assertIn(part, message)
            self.assertNotIn("\n", message)

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_arbitrary_text_parses_or_raises_a_one_line_error(self, text):
        try:
            parse_settings(text, source="x")
        except SettingsError as error:
            self.assertIn("x", str(error))
