"""Budget of bytes that all answers being buffered in a process share.

The budget decides which answer is ended when the bytes do not fit: the largest one, so
that an answer without end cannot take the room of the others. The oldest of equally
large ones goes first.
"""

import enum

import attrs

from rampwick_schema import ReprMixin

#: Share of the budget above which the answers of one upstream count as its failure: a
#: single upstream that fills as much leaves too little for all others.
MAX_UPSTREAM_RATIO = 0.5

#: Share of the budget above which answers that can be forwarded as they arrive are not
#: buffered. The rest is for those that can't, and for writes that wait for a caller.
MAX_WAITING_RATIO = 2 / 3


class BufferLimit(enum.Enum):
    """The bound that ended an answer."""

    #: Bytes that one answer may have buffered.
    ANSWER = "answer"
    #: Bytes that all answers of the process may have buffered.
    PROCESS = "process"


@attrs.define(eq=False, repr=False)
class BufferedAnswer(ReprMixin):
    """Bytes of one answer that the process has not passed on."""

    upstream: str
    held_bytes: int = 0
    #: Whether the bytes wait for the caller, so that they are not the upstream's fault.
    waits_for_caller: bool = False
    #: Whether the answer is being ended; its bytes are freed shortly.
    is_cut: bool = False


@attrs.frozen(repr=False)
class BufferCut(ReprMixin):
    """An answer that must be ended now."""

    answer: BufferedAnswer
    limit: BufferLimit
    #: Whether the upstream has failed by it.
    is_upstream_failure: bool


class BufferBudget:
    """Bytes buffered by all answers in progress, bounded by answer and in total."""

    def __init__(self, max_bytes: int, max_answer_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_answer_bytes = min(max_answer_bytes, max_bytes)
        #: By age, the oldest first.
        self._answers: dict[BufferedAnswer, None] = {}
        #: Bytes held now, and the most held so far.
        self.held_bytes = 0
        self.peak_bytes = 0

    @property
    def max_bytes(self) -> int:
        """Bytes that all answers may hold."""
        return self._max_bytes

    def add(self, answer: BufferedAnswer) -> None:
        """Count the bytes of an answer from now on."""
        self._answers[answer] = None

    def remove(self, answer: BufferedAnswer) -> None:
        """Release the bytes of an answer that has ended."""
        del self._answers[answer]
        if not answer.is_cut:
            self.held_bytes -= answer.held_bytes

    def has_room(self, additional_bytes: int) -> bool:
        """Return whether more bytes can wait for the end of their answer.

        Without room, they are forwarded while there is still room to do so.
        """
        return self.held_bytes + additional_bytes <= MAX_WAITING_RATIO * self._max_bytes

    def resize(
        self, answer: BufferedAnswer, held_bytes: int, *, waits_for_caller: bool = False
    ) -> list[BufferCut]:
        """Set the bytes that an answer holds; return the answers that must be ended."""
        if answer.is_cut:
            return []
        self.held_bytes += held_bytes - answer.held_bytes
        answer.held_bytes = held_bytes
        answer.waits_for_caller = waits_for_caller
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if held_bytes > self._max_answer_bytes:
            return [self._cut(answer, BufferLimit.ANSWER, not waits_for_caller)]
        cuts = []
        while self.held_bytes > self._max_bytes:
            largest = max(
                (item for item in self._answers if not item.is_cut),
                key=lambda item: item.held_bytes,
            )
            is_failure = not largest.waits_for_caller and self._fills_budget(
                largest.upstream
            )
            cuts.append(self._cut(largest, BufferLimit.PROCESS, is_failure))
        return cuts

    def _fills_budget(self, upstream: str) -> bool:
        held_bytes = sum(
            item.held_bytes
            for item in self._answers
            if item.upstream == upstream
            and not item.is_cut
            and not item.waits_for_caller
        )
        return held_bytes > MAX_UPSTREAM_RATIO * self._max_bytes

    def _cut(
        self, answer: BufferedAnswer, limit: BufferLimit, is_upstream_failure: bool
    ) -> BufferCut:
        answer.is_cut = True
        self.held_bytes -= answer.held_bytes
        return BufferCut(answer, limit, is_upstream_failure)
