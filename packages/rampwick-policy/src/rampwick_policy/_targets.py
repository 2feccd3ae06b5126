"""Target weights of runners, and the time since older versions became outdated."""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import NamedWeights, ReprMixin, WeightsTarget

#: Number of versions per model with a recorded target time, and number of the newest
#: that are published to peers. More versions seldom become targets within the time for
#: which an outdated version may be used.
MAX_VERSIONS_PER_MODEL = 64
MAX_PUBLISHED_VERSIONS = 4


#: Age of a host's last reading up to which its reading counts as continuous: a watch of
#: 3 s plus the transfer of its answer. Values from peers may be late by the same time.
MAX_READING_AGE_SECONDS = 4.0


@attrs.define(repr=False)
class TargetWeights(ReprMixin):
    """Target versions by model, with the time at which each became the target.

    A host observes this time if it reads continuously. Otherwise it assumes an age, but
    no time before the last one at which no newer version was known. Such estimates are
    not published to peers, and an observed time from a peer replaces them.
    """

    #: Assumed age of a target that was set while this host had no information.
    assumed_age_seconds: float = 0.0
    #: Monotonic time up to which no newer version was known to readers or this host.
    unchanged_until_seconds: float = -math.inf
    #: Monotonic time at which this host's own reading was certainly current.
    read_at_seconds: float = -math.inf
    #: Number of changes of target versions and their times.
    changes_count: int = 0
    _target_since: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _estimated: set[tuple[str, int]] = attrs.field(factory=set)

    def apply(
        self,
        targets: Iterable[WeightsTarget],
        now_seconds: float,
    ) -> None:
        """Apply targets from a peer; older versions are ignored."""
        for target in targets:
            if self._is_new(target):
                self._note_estimated(target, now_seconds)
        self._note_unchanged(now_seconds - MAX_READING_AGE_SECONDS)

    def apply_reading(
        self,
        targets: Iterable[WeightsTarget],
        read_at_seconds: float,
        now_seconds: float,
        is_after_failure: bool = False,
    ) -> None:
        """Apply targets that this host has read, current at ``read_at_seconds``.

        A version that was missing from a recent reading became the target in between.
        After a failure or a pause, the time is unknown.
        """
        age_seconds = now_seconds - self.read_at_seconds
        was_observed = age_seconds <= MAX_READING_AGE_SECONDS and not is_after_failure
        for target in targets:
            if not self._is_new(target):
                continue
            if was_observed:
                self._note(
                    target.model, target.weights_version, now_seconds, is_estimate=False
                )
            else:
                self._note_estimated(target, now_seconds)
        self.read_at_seconds = max(self.read_at_seconds, read_at_seconds)
        self._note_unchanged(read_at_seconds)

    def _is_new(self, target: WeightsTarget) -> bool:
        known = self._target_since.get(target.model, {})
        return target.weights_version > max(known, default=-1)

    def _note_estimated(self, target: WeightsTarget, now_seconds: float) -> None:
        at_seconds = max(
            now_seconds - self.assumed_age_seconds, self.unchanged_until_seconds
        )
        self._note(target.model, target.weights_version, at_seconds, is_estimate=True)

    def _note_unchanged(self, at_seconds: float) -> None:
        self.unchanged_until_seconds = max(self.unchanged_until_seconds, at_seconds)

    def merge_ages(self, ages: Iterable[NamedWeights], now_seconds: float) -> None:
        """Merge target times observed by a peer; the earliest time applies."""
        for item in ages:
            model, version = item.model, item.weights_version
            at_seconds = now_seconds - item.age_seconds
            known_seconds = self._target_since.get(model, {}).get(version, math.inf)
            if (model, version) in self._estimated or at_seconds < known_seconds:
                self._note(model, version, at_seconds, is_estimate=False)

    def _note(
        self, model: str, version: int, at_seconds: float, is_estimate: bool
    ) -> None:
        since = self._target_since.setdefault(model, {})
        if since.get(version) != at_seconds:
            self.changes_count += 1
        since[version] = at_seconds
        self._estimated.discard((model, version))
        if is_estimate:
            self._estimated.add((model, version))
        while len(since) > MAX_VERSIONS_PER_MODEL:
            oldest = min(since)
            del since[oldest]
            self._estimated.discard((model, oldest))

    def read_age_seconds(self, now_seconds: float) -> float:
        """Return the age of the last own reading; infinite if there is none."""
        return now_seconds - self.read_at_seconds

    def newest(self, model: str) -> int:
        """Return the target version of a model; 0 if none is known."""
        return max(self._target_since.get(model, {}), default=0)

    def all_newest(self) -> list[WeightsTarget]:
        """Return the newest target of each model."""
        return [
            WeightsTarget(model, max(since))
            for model, since in self._target_since.items()
        ]

    def ages(self, now_seconds: float) -> list[NamedWeights]:
        """Return the ages of the newest targets with an observed time."""
        return [
            NamedWeights(model, version, max(0.0, now_seconds - since[version]))
            for model, since in self._target_since.items()
            for version in sorted(since)[-MAX_PUBLISHED_VERSIONS:]
            if (model, version) not in self._estimated
        ]

    def outdated_since_seconds(self, model: str, version: int) -> float:
        """Return when the first newer version became the target; infinite if none."""
        newer = [
            at_seconds
            for known_version, at_seconds in self._target_since.get(model, {}).items()
            if known_version > version
        ]
        return min(newer, default=math.inf)

    def outdated_seconds(self, model: str, version: int, now_seconds: float) -> float:
        """Return the time since a newer version became the target; 0 if none did."""
        since_seconds = self.outdated_since_seconds(model, version)
        return now_seconds - since_seconds if since_seconds < math.inf else 0.0
