"""Exceptions of the policy package."""

from rampwick_schema import RampwickError


class TreeError(RampwickError):
    """A tree or a change to it is invalid and must not be applied."""


class ConflictError(RampwickError):
    """The tree was changed concurrently; the message names the changes."""


class LifecycleError(RampwickError):
    """An event is invalid in the request's present state."""
