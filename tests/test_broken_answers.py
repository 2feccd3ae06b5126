"""Answers that were cut short are never framed as complete."""

from testtools import TestCase

from .scripted import Hangup
from .test_routed import CHUNKED, all_scripts, chunk, event, ran, run

PARTIAL_EVENT = b"id: 4\ndata: ha"


def whole(last):
    """Return the events of a stream up to one of them."""
    return b"".join(event(number) for number in range(1, last + 1))


def until_close(body):
    """Return a script that ends a body without a length by closing."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=b"Content-Type: text/event-stream"))
        await exchange.send(body)
        raise Hangup

    return script


def in_chunks(body):
    """Return a script that ends a body by the last chunk."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=CHUNKED))
        await exchange.send(chunk(body) + b"0\r\n\r\n")

    return script


def with_length(body):
    """Return a script that states the length of a body."""

    async def script(exchange):
        await exchange.answer(body)

    return script


FRAMINGS = (until_close, in_chunks, with_length)


class CutStreamTest(TestCase):
    """A stream that ends inside an event has been broken off, however it is framed."""

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        for frame in FRAMINGS:

            async def scenario(host, servers, frame=frame):
                all_scripts(servers, frame(whole(3) + PARTIAL_EVENT))
                return await host.call("/brittle/1"), ran(servers)

            response, received = run(scenario)
            self.assertEqual(
                (whole(3), False, 1),
                (response.body, response.is_whole, len(received)),
                frame.__name__,
            )
