"""Bounds on the pieces in which callers send, since each one costs processor time.

A caller may announce nothing and complete nothing, but send frames without content, or
a body in pieces of a byte. Bounds on bytes do not end that.
"""

import attrs

from rampwick_schema import ReprMixin

#: Pieces from which on a body must have a mean size. A body that is written value by
#: value, as some clients do with JSON, stays below it.
MAX_SMALL_PIECES_COUNT = 32_768
MIN_MEAN_PIECE_BYTES = 16

#: Frames without content of a request that one connection may send at once, and in the
#: long run. Acknowledgements of what it was sent are allowed beside these.
MAX_CONTROL_FRAMES_COUNT = 1_000
CONTROL_FRAMES_PER_SECOND = 10.0

#: Frames that a reset of a stream counts as, since it has cost a request. A response
#: that was sent whole allows for one.
FRAMES_PER_RESET = 10

#: Frames that a caller may send for each frame with content that it was sent.
ACKNOWLEDGEMENTS_PER_FRAME = 2


@attrs.define(repr=False)
class PieceMeter(ReprMixin):
    """Counts the pieces of a body, such as chunks."""

    pieces_count: int = 0
    received_bytes: int = 0

    def note(self, piece_bytes: int) -> None:
        """Record a piece."""
        self.pieces_count += 1
        self.received_bytes += piece_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the body has come in too many pieces for its size."""
        if self.pieces_count <= MAX_SMALL_PIECES_COUNT:
            return False
        return self.received_bytes < self.pieces_count * MIN_MEAN_PIECE_BYTES


@attrs.define(repr=False)
class FrameAllowance(ReprMixin):
    """Frames without content that a connection may still send."""

    _refilled_at_seconds: float
    _remaining_count: float = MAX_CONTROL_FRAMES_COUNT

    def note_sent(self, content_bytes: int) -> None:
        """Record a frame with content to the caller, who may acknowledge it.

        A caller can bring about tiny ones, which allow for nothing.
        """
        if content_bytes >= MIN_MEAN_PIECE_BYTES:
            self._remaining_count += ACKNOWLEDGEMENTS_PER_FRAME

    def note_response(self) -> None:
        """Record a whole response."""
        self._remaining_count += FRAMES_PER_RESET

    def take(self, frames_count: int, now_seconds: float) -> bool:
        """Record frames of the caller; return whether they were allowed."""
        passed_seconds = now_seconds - self._refilled_at_seconds
        self._refilled_at_seconds = now_seconds
        if self._remaining_count < MAX_CONTROL_FRAMES_COUNT:
            self._remaining_count = min(
                self._remaining_count + passed_seconds * CONTROL_FRAMES_PER_SECOND,
                MAX_CONTROL_FRAMES_COUNT,
            )
        self._remaining_count -= frames_count
        return self._remaining_count >= 0.0
