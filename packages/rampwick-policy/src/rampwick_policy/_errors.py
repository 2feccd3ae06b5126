"""Errors of the decisions."""

from rampwick_schema import RampwickError


class TreeError(RampwickError):
    """A tree or a change to it is invalid; nothing of it may take effect."""


class ConflictError(RampwickError):
    """Somebody else changed the tree first; the text says what they changed."""


class LifecycleError(RampwickError):
    """An event came that a request in its state can't have."""
