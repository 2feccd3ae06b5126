"""Parts of prompts that upstreams have answered recently, by workspace."""

from collections import OrderedDict
from collections.abc import Iterable

#: Time after an answer for which a part counts as sound.
SOUND_RETENTION_SECONDS = 300.0

#: Maximum number of parts, about 150 bytes each. Beyond it, the workspace with the most
#: of them loses the one that was answered longest ago.
MAX_SOUND_PARTS_COUNT = 4096


class SoundParts:
    """The parts in one host's complete answers.

    Equal keys stand for the same text in the same cache scope, so that an answer of one
    workspace counts for all that share the part.
    """

    def __init__(self) -> None:
        #: Time of the last answer with each part, by the workspace that got it.
        self._answered_at: dict[str, OrderedDict[bytes, float]] = {}
        #: The workspace that got it.
        self._workspace_of: dict[bytes, str] = {}

    def __len__(self) -> int:
        return len(self._workspace_of)

    def note_answered(
        self, workspace_path: str, part_keys: Iterable[bytes], now_seconds: float
    ) -> None:
        """Record the complete answer of a request with some parts."""
        for key in part_keys:
            self._remove(key)
            times = self._answered_at.setdefault(workspace_path, OrderedDict())
            times[key] = now_seconds
            self._workspace_of[key] = workspace_path
            if len(self) > MAX_SOUND_PARTS_COUNT:
                self._evict_one()

    def is_sound(self, key: bytes, now_seconds: float) -> bool:
        """Return whether a part was answered recently."""
        workspace_path = self._workspace_of.get(key)
        if workspace_path is None:
            return False
        answered_at_seconds = self._answered_at[workspace_path][key]
        return now_seconds - answered_at_seconds <= SOUND_RETENTION_SECONDS

    def are_sound(
        self, part_keys: Iterable[bytes], now_seconds: float
    ) -> tuple[bool, ...]:
        """Return whether each part was answered recently; empty if none was."""
        are_sound = tuple(self.is_sound(key, now_seconds) for key in part_keys)
        return are_sound if any(are_sound) else ()

    def _remove(self, key: bytes) -> None:
        workspace_path = self._workspace_of.pop(key, None)
        if workspace_path is None:
            return
        times = self._answered_at[workspace_path]
        del times[key]
        if not times:
            del self._answered_at[workspace_path]

    def _evict_one(self) -> None:
        times = max(self._answered_at.values(), key=len)
        self._remove(next(iter(times)))
