"""Grace period for upstream entries that expired during an outage of the store.

An upstream renews its entry in the store, and an entry that is not renewed expires. So
after an outage the entries of live upstreams are missing, and a store that was restored
from a copy lacks the upstreams that started since the copy. They register again within
about two seconds of the store's return; until then missing entries count as listed.
"""

from collections.abc import Collection, Iterable

import attrs

from rampwick_schema import (
    HostEntry,
    HostList,
    ReprMixin,
    era_of,
    join_version,
    revision_of,
)

#: Time after the store's return in which a missing entry may be registered again.
ENTRY_GRACE_SECONDS = 1.8


@attrs.define(repr=False)
class ExpiredEntryGuard(ReprMixin):
    """Retains entries that may only have expired; times are monotonic seconds."""

    _entries: dict[str, HostEntry] = attrs.field(factory=dict)
    _expired: dict[str, HostEntry] = attrs.field(factory=dict)
    _version: int = 0
    _store_returned_at_seconds: float | None = None

    @property
    def grace_end_seconds(self) -> float | None:
        """When entries that are still missing count as removed, if there are any."""
        if not self._expired or self._store_returned_at_seconds is None:
            return None
        return self._store_returned_at_seconds + ENTRY_GRACE_SECONDS

    def apply(
        self,
        entries: Iterable[HostEntry],
        version: int,
        is_after_failure: bool,
        now_seconds: float,
        newest: HostList | None = None,
        unread: Collection[str] = (),
    ) -> None:
        """Apply the entries that the store lists now.

        ``newest`` is the newest list known here, read by this host or another, and
        ``unread`` has the upstreams whose entries have changed and can't be read.
        """
        if is_after_failure or self._is_restored(version, newest):
            self._store_returned_at_seconds = now_seconds
        listed = {entry.name: entry for entry in entries}
        if self._is_in_grace_period(now_seconds):
            previous = self._previous_entries(newest)
            # If another entry has the address, the previous upstream is gone: it may
            # have restarted under another name.
            used_addresses = {entry.address for entry in listed.values()}
            self._expired = {
                name: entry
                for name, entry in previous.items()
                if name not in listed
                and name not in unread
                and entry.state != "leaving"
                and entry.address not in used_addresses
            }
        else:
            self._expired = {}
        self._entries = listed
        self._version = version

    def _is_restored(self, version: int, newest: HostList | None) -> bool:
        """Return whether the store was restored since the previous lists."""
        previous_versions = [self._version, newest.version if newest else 0]
        return any(era_of(item) < era_of(version) for item in previous_versions if item)

    def _previous_entries(self, newest: HostList | None) -> dict[str, HostEntry]:
        """Return the previous entries; those that are missing now may have expired."""
        if newest is None or newest.version <= list_version(self._version, 1):
            return {**self._expired, **self._entries}
        # Other hosts read newer lists while this one could not. With its own older
        # list, upstreams removed meanwhile would be listed again and get requests.
        return {entry.name: entry for entry in newest.hosts if entry.kind != "entry"}

    def host_list(self, now_seconds: float) -> HostList:
        """Return the hosts that count as listed now.

        Each store version has two list versions: with the expired entries and without
        them.
        """
        if not self._is_in_grace_period(now_seconds):
            self._expired = {}
        hosts = [*self._entries.values(), *self._expired.values()]
        stage = 0 if self._expired else 1
        return HostList(version=list_version(self._version, stage), hosts=hosts)

    def _is_in_grace_period(self, now_seconds: float) -> bool:
        store_returned_at_seconds = self._store_returned_at_seconds
        return (
            store_returned_at_seconds is not None
            and now_seconds < store_returned_at_seconds + ENTRY_GRACE_SECONDS
        )


def list_version(version: int, stage: int) -> int:
    """Return the list version for a store version and a stage of the grace period."""
    return join_version(era_of(version), 2 * revision_of(version) + stage)
