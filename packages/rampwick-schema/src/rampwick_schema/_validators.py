"""Validators that the generated classes use."""

from collections.abc import Callable, Sequence
from typing import Any

import attrs

from ._shown import Shown


@attrs.frozen(repr=False)
class Within(Shown):
    """Validator that takes numbers from ``low`` to ``high``, or none."""

    low: float | None
    high: float | None

    def __call__(self, instance: object, attribute: Any, value: float | None) -> None:
        """Raise a ValueError that names the bounds unless the value keeps them."""
        if value is None:
            return
        # Written so that NaN, which compares false, is refused.
        above = self.low is None or value >= self.low
        below = self.high is None or value <= self.high
        if not (above and below):
            bounds = describe_bounds(self.low, self.high)
            raise ValueError(f"{attribute.name} is {value!r}, allowed is {bounds}")

    def nearest(self, value: float) -> float:
        """Return the allowed number that is nearest."""
        if self.low is not None and value < self.low:
            return self.low
        if self.high is not None and value > self.high:
            return self.high
        return value


def within(low: float | None, high: float | None) -> Callable[..., None]:
    """Return a validator that takes numbers from ``low`` to ``high``, or none."""
    return Within(low, high)


def one_of(allowed: Sequence[str]) -> Callable[..., None]:
    """Return a validator that takes one of the allowed words, or none."""

    def validate(instance: object, attribute: Any, value: str | None) -> None:
        if value is not None and value not in allowed:
            words = ", ".join(allowed)
            raise ValueError(f"{attribute.name} is {value!r}, allowed is {words}")

    return validate


def describe_bounds(low: float | None, high: float | None) -> str:
    """Return the bounds in words."""
    if low is None:
        return f"at most {high}"
    if high is None:
        return f"at least {low}"
    return f"{low} to {high}"
