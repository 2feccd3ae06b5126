"""What changed of a host's beliefs, for its log: who is up, down, loading, silent."""

import attrs

from rampwick_schema import ReprMixin


@attrs.frozen(repr=False)
class Notice(ReprMixin):
    """One belief that is another now."""

    #: What it is about: an upstream, a peer, a target or a limit.
    kind: str
    name: str
    before: str
    after: str
    #: What the change rests on: an error, a report, a list.
    reason: str


@attrs.define(repr=False)
class NoticeBook(ReprMixin):
    """Beliefs as they were last noted; changes wait here until they are taken."""

    _known: dict[tuple[str, str], str] = attrs.field(factory=dict)
    _waiting: list[Notice] = attrs.field(factory=list)

    def note(self, kind: str, name: str, state: str, reason: str) -> None:
        """Note a belief; only one that differs from the last becomes a notice."""
        before = self._known.get((kind, name), "")
        if state == before:
            return
        self._known[kind, name] = state
        self._waiting.append(Notice(kind, name, before, state, reason))

    def knows(self, kind: str, name: str) -> bool:
        """Return whether anything is believed of something."""
        return (kind, name) in self._known

    def forget(self, kind: str, name: str, reason: str) -> None:
        """Note that nothing is believed of something any more."""
        before = self._known.pop((kind, name), "")
        if before:
            self._waiting.append(Notice(kind, name, before, "gone", reason))

    def take(self) -> list[Notice]:
        """Return the changes since the last call."""
        if not self._waiting:
            return []
        taken, self._waiting = self._waiting, []
        return taken
