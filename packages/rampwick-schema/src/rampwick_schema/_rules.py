"""Validators that the generated classes use."""

from collections.abc import Callable, Sequence
from typing import Any


def within(low: float | None, high: float | None) -> Callable[..., None]:
    """Return a validator that takes numbers from ``low`` to ``high``, or none."""

    def validate(instance: object, attribute: Any, value: float | None) -> None:
        if value is None:
            return
        # Written so that NaN, which compares false, is refused.
        above = low is None or value >= low
        below = high is None or value <= high
        if not (above and below):
            bounds = describe_bounds(low, high)
            raise ValueError(f"{attribute.name} is {value!r}, allowed is {bounds}")

    return validate


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
