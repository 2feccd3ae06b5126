"""The weights that runners shall have, and for how long others have been outdated."""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import NamedWeights, WeightsTarget

#: Versions of one model whose time of naming is remembered, and how many of the newest
#: are told to peers: more are seldom named within the time that any may be used.
KEPT_VERSIONS = 64
TOLD_VERSIONS = 4


@attrs.define
class TargetWeights:
    """Target versions by model, with the time at which each was named.

    A naming that nobody here saw has a guessed time, which is not told to peers and
    gives way to the word of one who saw it.
    """

    #: Age of a version that was named before this host looked for the first time.
    guessed_age_seconds: float = 0.0
    #: Steady time at which this host's own reading was surely the newest.
    read_at_seconds: float = -math.inf
    _named_at: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _guessed: set[tuple[str, int]] = attrs.field(factory=set)

    def apply(
        self,
        targets: Iterable[WeightsTarget],
        now_seconds: float,
        is_after_failure: bool = False,
    ) -> None:
        """Take the targets that were read or told; older versions change nothing.

        After a failure to read, a version may be as old as the last reading.
        """
        for target in targets:
            model, version = target.model, target.weights_version
            if version <= max(self._named_at.get(model, {}), default=-1):
                continue
            at_seconds = now_seconds
            is_first = math.isinf(self.read_at_seconds)
            if is_first:
                at_seconds -= self.guessed_age_seconds
            elif is_after_failure:
                at_seconds = self.read_at_seconds
            self._note(model, version, at_seconds, is_first or is_after_failure)

    def learn(self, named: Iterable[NamedWeights], now_seconds: float) -> None:
        """Take a peer's word on when versions were named; the earliest time holds."""
        for item in named:
            model, version = item.model, item.weights_version
            at_seconds = now_seconds - item.age_seconds
            known_seconds = self._named_at.get(model, {}).get(version, math.inf)
            if (model, version) in self._guessed or at_seconds < known_seconds:
                self._note(model, version, at_seconds, is_guess=False)

    def _note(
        self, model: str, version: int, at_seconds: float, is_guess: bool
    ) -> None:
        named = self._named_at.setdefault(model, {})
        named[version] = at_seconds
        self._guessed.discard((model, version))
        if is_guess:
            self._guessed.add((model, version))
        while len(named) > KEPT_VERSIONS:
            oldest = min(named)
            del named[oldest]
            self._guessed.discard((model, oldest))

    def note_read(self, at_seconds: float) -> None:
        """Note that this host read all targets itself, and when they were newest."""
        self.read_at_seconds = max(self.read_at_seconds, at_seconds)

    def read_age_seconds(self, now_seconds: float) -> float:
        """Return the age of this host's own reading; infinite if there is none."""
        return now_seconds - self.read_at_seconds

    def newest(self, model: str) -> int:
        """Return the target version of a model; 0 if none is known."""
        return max(self._named_at.get(model, {}), default=0)

    def all_newest(self) -> list[WeightsTarget]:
        """Return the newest target of each model."""
        return [
            WeightsTarget(model, max(named)) for model, named in self._named_at.items()
        ]

    def ages(self, now_seconds: float) -> list[NamedWeights]:
        """Return how long ago the newest versions were named, where that is known."""
        return [
            NamedWeights(model, version, max(0.0, now_seconds - named[version]))
            for model, named in self._named_at.items()
            for version in sorted(named)[-TOLD_VERSIONS:]
            if (model, version) not in self._guessed
        ]

    def outdated_seconds(self, model: str, version: int, now_seconds: float) -> float:
        """Return the time since a newer version was named; 0 if none was."""
        newer = [
            at_seconds
            for named, at_seconds in self._named_at.get(model, {}).items()
            if named > version
        ]
        return now_seconds - min(newer) if newer else 0.0
