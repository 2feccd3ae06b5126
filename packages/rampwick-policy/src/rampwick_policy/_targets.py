"""The weights that runners shall have, and for how long others have been outdated."""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import NamedWeights, ReprMixin, WeightsTarget

#: Versions of one model whose time of naming is remembered, and how many of the newest
#: are told to peers: more are seldom named within the time that any may be used.
KEPT_VERSIONS = 64
TOLD_VERSIONS = 4


#: Age of a host's own reading up to which it was reading all the time: a watch of 3 s
#: and the way of its answer. What a peer tells it knows as late as that.
MAX_READING_AGE_SECONDS = 4.0


@attrs.define(repr=False)
class TargetWeights(ReprMixin):
    """Target versions by model, with the time at which each was named.

    A host has seen a naming if it was reading all the time. Else its time is guessed:
    so long ago, but not before a newer version would have been told or read here.
    Guesses are not told to peers and give way to the word of one who saw.
    """

    #: Age of a version that was named while nobody told this host of it.
    guessed_age_seconds: float = 0.0
    #: Steady time up to which no newer version was known to readers or to this host.
    quiet_until_seconds: float = -math.inf
    #: Steady time at which this host's own reading was surely the newest.
    read_at_seconds: float = -math.inf
    _named_at: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _guessed: set[tuple[str, int]] = attrs.field(factory=set)

    def apply(
        self,
        targets: Iterable[WeightsTarget],
        now_seconds: float,
    ) -> None:
        """Take the targets that were told; older versions change nothing."""
        for target in targets:
            if self._is_new(target):
                self._guess(target, now_seconds)
        self._note_quiet(now_seconds - MAX_READING_AGE_SECONDS)

    def read(
        self,
        targets: Iterable[WeightsTarget],
        read_at_seconds: float,
        now_seconds: float,
        is_after_failure: bool = False,
    ) -> None:
        """Take what this host has read, and the time at which it was newest.

        A version that was not there a moment ago was named in between; after a failure
        or a pause nobody here knows when.
        """
        age_seconds = now_seconds - self.read_at_seconds
        has_seen = age_seconds <= MAX_READING_AGE_SECONDS and not is_after_failure
        for target in targets:
            if not self._is_new(target):
                continue
            if has_seen:
                self._note(
                    target.model, target.weights_version, now_seconds, is_guess=False
                )
            else:
                self._guess(target, now_seconds)
        self.read_at_seconds = max(self.read_at_seconds, read_at_seconds)
        self._note_quiet(read_at_seconds)

    def _is_new(self, target: WeightsTarget) -> bool:
        known = self._named_at.get(target.model, {})
        return target.weights_version > max(known, default=-1)

    def _guess(self, target: WeightsTarget, now_seconds: float) -> None:
        at_seconds = max(
            now_seconds - self.guessed_age_seconds, self.quiet_until_seconds
        )
        self._note(target.model, target.weights_version, at_seconds, is_guess=True)

    def _note_quiet(self, at_seconds: float) -> None:
        self.quiet_until_seconds = max(self.quiet_until_seconds, at_seconds)

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
