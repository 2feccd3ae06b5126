"""Upstreams whose entries vanished while the store was away.

An upstream renews its entry in the store, and the entry goes if it can't. So after an
outage of the store entries are missing whose upstreams live, and a copy from which the
store was restored lacks those of upstreams that have started since. They are back about
two seconds after the store, and until then a missing one is taken to be there still.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import (
    HostEntry,
    HostList,
    ReprMixin,
    era_of,
    join_version,
    revision_of,
)

#: Time after the store's return until which a missing entry may still come back.
LAPSE_SECONDS = 1.8


@attrs.define(repr=False)
class LapseGuard(ReprMixin):
    """Remembers the entries that may only have lapsed; times are steady seconds."""

    _entries: dict[str, HostEntry] = attrs.field(factory=dict)
    _lapsed: dict[str, HostEntry] = attrs.field(factory=dict)
    _version: int = 0
    _returned_at_seconds: float | None = None

    @property
    def lapse_end_seconds(self) -> float | None:
        """When the entries that are still missing count as gone, if there are any."""
        if not self._lapsed or self._returned_at_seconds is None:
            return None
        return self._returned_at_seconds + LAPSE_SECONDS

    def take(
        self,
        entries: Iterable[HostEntry],
        version: int,
        is_after_failure: bool,
        now_seconds: float,
        newest: HostList | None = None,
    ) -> None:
        """Take the entries as they are in the store now.

        ``newest`` is the newest list that this host knows, whoever has read it.
        """
        if is_after_failure or self._is_restored(version, newest):
            self._returned_at_seconds = now_seconds
        listed = {entry.name: entry for entry in entries}
        if self._is_returning(now_seconds):
            known = self._known_before(newest)
            # Where another upstream is now, the one before is gone: it may have
            # started again under another name.
            taken = {entry.address for entry in listed.values()}
            self._lapsed = {
                name: entry
                for name, entry in known.items()
                if name not in listed
                and entry.state != "leaving"
                and entry.address not in taken
            }
        else:
            self._lapsed = {}
        self._entries = listed
        self._version = version

    def _is_restored(self, version: int, newest: HostList | None) -> bool:
        """Return whether the store was restored since the lists that are known."""
        known_versions = [self._version, newest.version if newest else 0]
        return any(era_of(item) < era_of(version) for item in known_versions if item)

    def _known_before(self, newest: HostList | None) -> dict[str, HostEntry]:
        """Return the entries of which those that are missing now may have lapsed."""
        if newest is None or newest.version <= list_version(self._version, 1):
            return {**self._lapsed, **self._entries}
        # Others have read on while this host could not: what had gone by then would
        # be listed anew, and sent to after it has left.
        return {entry.name: entry for entry in newest.hosts if entry.kind != "entry"}

    def host_list(self, now_seconds: float) -> HostList:
        """Return the hosts that count as listed now.

        Two versions belong to each version of the store: with the lapsed entries,
        and without them.
        """
        if not self._is_returning(now_seconds):
            self._lapsed = {}
        hosts = [*self._entries.values(), *self._lapsed.values()]
        stage = 0 if self._lapsed else 1
        return HostList(version=list_version(self._version, stage), hosts=hosts)

    def _is_returning(self, now_seconds: float) -> bool:
        returned_at_seconds = self._returned_at_seconds
        return (
            returned_at_seconds is not None
            and now_seconds < returned_at_seconds + LAPSE_SECONDS
        )


def list_version(version: int, stage: int) -> int:
    """Return the version of a list that shows the store at a version of its own."""
    return join_version(era_of(version), 2 * revision_of(version) + stage)
