"""Noticing upstreams that fall silent in the middle of an answer.

A time-out for each piece costs more than relaying it. One task looks now and then at
all answers under way instead, so that silence is noticed a little later than its bound.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs

from rampwick_schema import Shown

#: Time between two looks: small against the bounds in use.
LOOK_SECONDS = 0.2


@attrs.define(eq=False, repr=False)
class Listening(Shown):
    """An answer under way; its reader notes when it waits and when it does not."""

    bound_seconds: float
    #: Since when the reader has been waiting for a piece; nothing while it is not.
    waiting_since_seconds: float | None = None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    is_silent: bool = False


class SilenceWatch:
    """Breaks off the reading of answers whose upstreams say nothing for too long."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._open: set[Listening] = set()
        self._has_any = anyio.Event()

    @contextmanager
    def listen(self, bound_seconds: float) -> Iterator[Listening]:
        """Watch an answer for the length of the context.

        Silence ends the context early, without an error, and sets ``is_silent``.
        """
        listening = Listening(bound_seconds)
        self._open.add(listening)
        self._has_any.set()
        try:
            with listening.scope:
                yield listening
        finally:
            self._open.discard(listening)

    def note_waiting(self, listening: Listening) -> None:
        """Note that the reader waits for the next piece from now on."""
        listening.waiting_since_seconds = self._read_clock()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            if not self._open:
                self._has_any = anyio.Event()
                await self._has_any.wait()
            await anyio.sleep(LOOK_SECONDS)
            self.look(self._read_clock())

    def look(self, now_seconds: float) -> None:
        """Break off what has been silent for too long."""
        for listening in list(self._open):
            since_seconds = listening.waiting_since_seconds
            if since_seconds is None:
                continue
            if now_seconds - since_seconds > listening.bound_seconds:
                listening.is_silent = True
                listening.scope.cancel()
