"""Buffers of answers in progress, within the budget of the process."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from rampwick_policy import BufferBudget, BufferCut, BufferedAnswer, Outcome
from rampwick_schema import LimitSettings

from ._errors import AttemptError
from ._logs import ComponentLogger

STEP = "buffer answer"

#: Maximum number of bytes that are passed to the caller's connection at once.
WRITE_BYTES = 65_536

#: Copies of the bytes of a write that the caller does not take: the chunk, the parser's
#: buffer, the framed chunk and the rest of an earlier one.
COPIES_PER_WRITE = 4

log = ComponentLogger("upstreams")


class AnswerBuffer:
    """The bytes that one answer in progress has buffered."""

    def __init__(self, buffers: "AnswerBuffers", upstream: str) -> None:
        self._buffers = buffers
        self.answer = BufferedAnswer(upstream)
        self.scope = anyio.CancelScope()
        self.cut: BufferCut | None = None

    def hold(self, count_bytes: int) -> None:
        """Set the bytes that are buffered, or raise AttemptError if they don't fit.

        Other answers, too, may be ended by it.
        """
        self._buffers.resize(self, count_bytes)

    def hold_for_caller(self, count_bytes: int) -> None:
        """Set the bytes that are buffered until the caller takes them."""
        copied_bytes = (COPIES_PER_WRITE - 1) * min(count_bytes, WRITE_BYTES)
        self._buffers.resize(self, count_bytes + copied_bytes, waits_for_caller=True)

    def has_room(self, additional_bytes: int) -> bool:
        """Return whether more bytes can wait for the end of their answer."""
        return self._buffers.budget.has_room(additional_bytes)


def make_buffers(settings: LimitSettings | None = None) -> "AnswerBuffers":
    """Return the buffers of a process with these settings."""
    limits = settings or LimitSettings()
    return AnswerBuffers(
        BufferBudget(limits.max_buffered_bytes, limits.max_buffered_answer_bytes)
    )


class AnswerBuffers:
    """The buffers of all answers in progress."""

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self._by_answer: dict[BufferedAnswer, AnswerBuffer] = {}

    @contextmanager
    def open(self, upstream: str) -> Iterator[AnswerBuffer]:
        """Yield the buffer of one answer, which is released at the end of the context.

        The context is cancelled, and raises AttemptError, if the answer must be ended
        to make room for others.
        """
        buffer = AnswerBuffer(self, upstream)
        self.budget.add(buffer.answer)
        self._by_answer[buffer.answer] = buffer
        try:
            with buffer.scope:
                yield buffer
        finally:
            del self._by_answer[buffer.answer]
            self.budget.remove(buffer.answer)
        if buffer.cut is not None and buffer.scope.cancelled_caught:
            raise _cut_error(buffer.cut)

    def describe(self) -> dict[str, int]:
        """Return the bytes held now and at peak, and the bound."""
        budget = self.budget
        return {
            "held": budget.held_bytes,
            "peak": budget.peak_bytes,
            "max": budget.max_bytes,
        }

    def resize(
        self, buffer: AnswerBuffer, count_bytes: int, *, waits_for_caller: bool = False
    ) -> None:
        """Set the bytes of a buffer, and end the answers that no longer fit."""
        cuts = self.budget.resize(
            buffer.answer, count_bytes, waits_for_caller=waits_for_caller
        )
        for cut in cuts:
            self._end(cut)
        if buffer.cut is not None:
            raise _cut_error(buffer.cut)

    def _end(self, cut: BufferCut) -> None:
        log.problem(
            "answer ended by a bound on buffered bytes",
            upstream=cut.answer.upstream,
            limit=cut.limit.value,
            answer_bytes=cut.answer.held_bytes,
            held_bytes=self.budget.held_bytes,
            waits_for_caller=cut.answer.waits_for_caller,
            is_upstream_failure=cut.is_upstream_failure,
        )
        ended = self._by_answer[cut.answer]
        ended.cut = cut
        ended.scope.cancel()


def _cut_error(cut: BufferCut) -> AttemptError:
    return AttemptError(
        f"the answer exceeds the bytes that may be buffered: {cut.limit.value}",
        outcome=Outcome.BROKEN if cut.is_upstream_failure else Outcome.TOO_LARGE,
        step=STEP,
        peer=cut.answer.upstream,
        bound=f"{cut.limit.value} buffer",
    )
