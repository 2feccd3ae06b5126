"""What changed of a host's beliefs, for its log: who is up, down, loading, silent."""

import attrs

from rampwick_schema import Shown


@attrs.frozen(repr=False)
class StateChange(Shown):
    """One belief that is another now."""

    #: What it is about: an upstream, a peer, a target or a limit.
    kind: str
    name: str
    before: str
    after: str
    #: What the change rests on: an error, a report, a list.
    reason: str


@attrs.define(repr=False)
class StateChangeTracker(Shown):
    """Beliefs as they were last noted; changes wait here until they are taken."""

    _states: dict[tuple[str, str], str] = attrs.field(factory=dict)
    _pending: list[StateChange] = attrs.field(factory=list)

    def note(self, kind: str, name: str, state: str, reason: str) -> None:
        """Note a belief; only one that differs from the last becomes a notice."""
        before = self._states.get((kind, name), "")
        if state == before:
            return
        self._states[kind, name] = state
        self._pending.append(StateChange(kind, name, before, state, reason))

    def knows(self, kind: str, name: str) -> bool:
        """Return whether anything is believed of something."""
        return (kind, name) in self._states

    def forget(self, kind: str, name: str, reason: str) -> None:
        """Note that nothing is believed of something any more."""
        before = self._states.pop((kind, name), "")
        if before:
            self._pending.append(StateChange(kind, name, before, "gone", reason))

    def take(self) -> list[StateChange]:
        """Return the changes since the last call."""
        if not self._pending:
            return []
        taken, self._pending = self._pending, []
        return taken
