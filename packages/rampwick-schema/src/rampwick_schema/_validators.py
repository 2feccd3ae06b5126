"""attrs validators of the generated classes."""

import functools
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from ._repr_mixin import ReprMixin


@attrs.frozen(repr=False)
class Within(ReprMixin):
    """Validator that accepts None and numbers from ``low`` to ``high``.

    A bound that is None is open.
    """

    low: float | None
    high: float | None

    def __call__(self, instance: object, attribute: Any, value: float | None) -> None:
        """Raise ValueError, with the bounds, if the value is out of range."""
        if value is None:
            return
        # NaN compares false with any bound, so these conditions reject it.
        is_above_low = self.low is None or value >= self.low
        is_below_high = self.high is None or value <= self.high
        if not (is_above_low and is_below_high):
            bounds = describe_bounds(self.low, self.high)
            raise ValueError(f"{attribute.name} is {value!r}, allowed is {bounds}")

    def clamp(self, value: float) -> float:
        """Return the value limited to the bounds."""
        if self.low is not None and value < self.low:
            return self.low
        if self.high is not None and value > self.high:
            return self.high
        return value


@functools.cache
def field_bounds(cls: type, name: str) -> tuple[float | None, float | None]:
    """Return the bounds of a field of a generated class; None where one is open."""
    validator = attrs.fields_dict(cls)[name].validator
    if isinstance(validator, Within):
        return validator.low, validator.high
    return None, None


def within(low: float | None, high: float | None) -> Callable[..., None]:
    """Return a validator that accepts None and numbers from ``low`` to ``high``."""
    return Within(low, high)


def one_of(allowed: Sequence[str]) -> Callable[..., None]:
    """Return a validator that accepts None and the strings in ``allowed``."""

    def validate(instance: object, attribute: Any, value: str | None) -> None:
        if value is not None and value not in allowed:
            choices = ", ".join(allowed)
            raise ValueError(f"{attribute.name} is {value!r}, allowed is {choices}")

    return validate


def describe_bounds(low: float | None, high: float | None) -> str:
    """Return a description of the bounds for error messages."""
    if low is None:
        return f"at most {high}"
    if high is None:
        return f"at least {low}"
    return f"{low} to {high}"
