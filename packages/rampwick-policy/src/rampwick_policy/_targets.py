"""The weights that runners shall have, and for how long others have been outdated."""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import WeightsTarget

#: Versions of one model whose time of naming is remembered.
KEPT_VERSIONS = 64


@attrs.define
class TargetWeights:
    """Target versions by model, with the time at which each became known here."""

    _named_at: dict[str, dict[int, float]] = attrs.field(factory=dict)
    #: Steady time at which this host's own reading was surely the newest.
    read_at_seconds: float = -math.inf

    def apply(self, targets: Iterable[WeightsTarget], now_seconds: float) -> None:
        """Take the targets that were read; older versions change nothing."""
        for target in targets:
            named = self._named_at.setdefault(target.model, {})
            if target.weights_version > max(named, default=-1):
                named[target.weights_version] = now_seconds
            while len(named) > KEPT_VERSIONS:
                del named[min(named)]

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

    def outdated_seconds(self, model: str, version: int, now_seconds: float) -> float:
        """Return the time since a newer version was named; 0 if none was."""
        newer = [
            at_seconds
            for named, at_seconds in self._named_at.get(model, {}).items()
            if named > version
        ]
        return now_seconds - min(newer) if newer else 0.0
