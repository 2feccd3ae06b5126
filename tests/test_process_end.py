"""Guards against processes that are killed since a step of their end has no bound."""

import asyncio
import socket

import anyio
from testtools import TestCase

from .scripted import HOST, KEY
from .test_requests_taken_while_leaving import CHUNKED, all_scripts, has_begun, leave
from .test_routed import run

TIMEOUT_SECONDS = 10.0

#: More than the kernels and the host hold of an answer.
EVENT = b"id: 1\ndata: " + b"x" * 100_000 + b"\n\n"
EVENTS_COUNT = 160


class ProcessEndTest(TestCase):
    def test_caller_that_takes_nothing_does_not_hold_the_process(self):
        held = []

        async def send_all(exchange):
            await exchange.send(exchange.head(extra=CHUNKED))
            for _ in range(EVENTS_COUNT):
                await exchange.send(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))

        async def scenario(host, servers):
            all_scripts(servers, send_all)
            address, _, port = host.address.partition(":")
            caller = socket.create_connection((address, int(port)))
            self.addCleanup(caller.close)
            caller.sendall(
                f"POST /stream/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Rampwick-Request-Id: caller-5\r\nContent-Length: 0\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            )
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not has_begun(host):
                    await anyio.sleep(0.005)
                await until_held(host)

            def let_go():
                held.append(caller)
                caller.close()

            asyncio.get_running_loop().call_later(TIMEOUT_SECONDS, let_go)
            leave(host, 0.0)

        run(scenario)
        self.assertEqual([], held)


async def until_held(host):
    """Return when a caller takes nothing more of its answer."""
    [responder] = host.daemon.entry._open
    before = None
    while before is None or before != responder.write_started_seconds:
        before = responder.write_started_seconds
        await anyio.sleep(0.1)
