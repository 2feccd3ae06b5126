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
