"""Guards against messages that the kernel holds back.

Without TCP_NODELAY a small message waits until the peer has acknowledged the one before
it, which peers delay by 40 ms. Hosts that had accepted a link sent such messages late.
"""

import socket

import anyio

from rampwick_router.peers._stream import PeerStream
from rampwick_start import bind

from .bench import run_two_hosts
from .case import ScenarioCase


def has_no_delay(raw):
    return bool(raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


class NoDelayTest(ScenarioCase):
    def test_both_ends_of_a_link_send_small_messages_at_once(self):
        streams = []
        begin = PeerStream.connection_made

        def record(stream, transport):
            streams.append(transport.get_extra_info("socket"))
            begin(stream, transport)

        self.patch(PeerStream, "connection_made", record)

        async def scenario(bench):
            async with run_two_hosts(bench):
                return [has_no_delay(raw) for raw in streams if raw.fileno() >= 0]

        found = self.run_scenario(scenario)
        self.assertGreaterEqual(len(found), 2)
        self.assertNotIn(False, found)

    def test_accepted_connections_of_any_listener_do(self):
        async def scenario(bench):
            with bind("127.0.0.1:0") as listener:
                listener.setblocking(True)
                async with await anyio.connect_tcp(*listener.getsockname()):
                    accepted, _ = listener.accept()
                    with accepted:
                        return has_no_delay(accepted)

        self.assertTrue(self.run_scenario(scenario))
