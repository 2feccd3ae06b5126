"""Pauses between the reads of an answer that takes much of the processor."""

import time
from collections.abc import Callable

import anyio

from rampwick_policy import AnswerWork, BulkPacing

#: Longest work that is counted for one read, and in addition for each of its bytes.
#: What exceeds it was done for others, while the answer waited for its caller.
MAX_READ_SECONDS = 0.0002
MAX_BYTE_SECONDS = 0.000_001

#: Size of a read that shows an upstream to send faster than this host reads, and the
#: work for it that no task sees: system calls and callbacks of the event loop.
BULK_READ_BYTES = 32_768
OVERHEAD_SECONDS = 0.0004


class ReadPacer:
    """Measures the work for one connection's answers, and makes them give way."""

    def __init__(
        self,
        pacing: BulkPacing | None = None,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._pacing = pacing or BulkPacing()
        self._read_clock = read_clock
        self._work = AnswerWork()
        self._began_seconds = 0.0
        #: Work that may still be counted for the last read.
        self._left_seconds = 0.0
        #: Whether the answer has used more than its part of the processor.
        self.is_paced = False

    def begin(self, read_bytes: int = 0) -> None:
        """Record that work begins, for bytes that have been read."""
        self._left_seconds = MAX_READ_SECONDS + read_bytes * MAX_BYTE_SECONDS
        self._resume()
        if read_bytes >= BULK_READ_BYTES:
            self._began_seconds -= OVERHEAD_SECONDS

    async def pause(self) -> None:
        """Let other tasks run; for longer if the answer is paced."""
        spent_seconds = self._note_work()
        delay_seconds = 0.0
        if self.is_paced:
            delay_seconds = self._pacing.delay_seconds(
                spent_seconds, self._read_clock()
            )
        await anyio.sleep(delay_seconds)
        self._resume()

    async def before_read(self) -> None:
        """Pause before a read if the answer is paced."""
        if self.is_paced:
            await self.pause()
        else:
            self._note_work()

    def _resume(self) -> None:
        self._began_seconds = time.thread_time()

    def _note_work(self) -> float:
        spent_seconds = min(
            self._left_seconds, time.thread_time() - self._began_seconds
        )
        self._left_seconds -= spent_seconds
        self.is_paced = self._work.note(spent_seconds, self._read_clock())
        return spent_seconds
