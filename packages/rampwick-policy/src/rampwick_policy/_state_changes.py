"""State changes of upstreams, peers, targets and limits, for the log."""

import attrs

from rampwick_schema import ReprMixin


@attrs.frozen(repr=False)
class StateChange(ReprMixin):
    """One change of state."""

    #: Kind of the object: an upstream, a peer, a target or a limit, for example.
    kind: str
    name: str
    before: str
    after: str
    #: Cause of the change: an error, a report or a list, for example.
    reason: str


@attrs.define(repr=False)
class StateChangeTracker(ReprMixin):
    """Last recorded states, and the changes since the last call of ``take``."""

    _states: dict[tuple[str, str], str] = attrs.field(factory=dict)
    _pending: list[StateChange] = attrs.field(factory=list)

    def note(self, kind: str, name: str, state: str, reason: str) -> None:
        """Record a state; a state equal to the last one is not a change."""
        before = self._states.get((kind, name), "")
        if state == before:
            return
        self._states[kind, name] = state
        self._pending.append(StateChange(kind, name, before, state, reason))

    def note_end(
        self, kind: str, name: str, before: str, end: str, reason: str
    ) -> None:
        """Record how an object ended whose earlier states are not tracked."""
        self._pending.append(StateChange(kind, name, before, end, reason))

    def has_state(self, kind: str, name: str) -> bool:
        """Return whether a state is recorded for an object."""
        return (kind, name) in self._states

    def forget(self, kind: str, name: str, reason: str) -> None:
        """Remove the state of an object."""
        before = self._states.pop((kind, name), "")
        if before:
            self._pending.append(StateChange(kind, name, before, "gone", reason))

    def take(self) -> list[StateChange]:
        """Return the changes since the last call."""
        if not self._pending:
            return []
        taken, self._pending = self._pending, []
        return taken
