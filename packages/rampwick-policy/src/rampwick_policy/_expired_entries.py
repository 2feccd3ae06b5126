"""Grace period for upstream entries that expired during an outage of the store.

An upstream renews its entry in the store, and an entry that is not renewed expires. So
after an outage the entries of live upstreams are missing, and a store that was restored
from a copy lacks the upstreams that started since the copy. They register again within
about two seconds of the store's return; until then missing entries count as listed.

No entry expires in an outage that is shorter than some renewals. What is missing after
it was removed, and must not be retained: its upstream soon expects no more requests.

A host can't tell an outage of the store from one of its own links. Entries that it
retains therefore have the version of the last list with them: a list of another host
that is newer and lacks an entry shows that it was removed, not expired.
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

#: Shortest outage in which an entry can expire, in intervals of renewal. An entry
#: expires three intervals after its last renewal, which was at most one before the
#: outage; the rest is for renewals that come a little late.
MIN_EXPIRY_RENEWALS = 1.75

#: State of the entry of a draining upstream.
LEAVING_STATE = "leaving"


@attrs.define(repr=False)
class ExpiredEntryGuard(ReprMixin):
    """Retains entries that may only have expired; times are monotonic seconds."""

    _entries: dict[str, HostEntry] = attrs.field(factory=dict)
    _expired: dict[str, HostEntry] = attrs.field(factory=dict)
    _version: int = 0
    _store_returned_at_seconds: float | None = None

    @property
    def retained_names(self) -> list[str]:
        """Names of the upstreams whose missing entries count as listed."""
        return sorted(self._expired)

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
        may_have_expired: bool,
        now_seconds: float,
        newest: HostList | None = None,
        unread: Collection[str] = (),
    ) -> None:
        """Apply the entries that the store lists now.

        ``may_have_expired`` is whether an outage since the previous entries was long
        enough for some of them to expire, ``newest`` is the newest list known here,
        read by this host or another, and ``unread`` has the upstreams whose entries
        have changed and can't be read.
        """
        if may_have_expired or self._is_restored(version, newest):
            self._store_returned_at_seconds = now_seconds
        listed = {entry.name: entry for entry in entries}
        if self._is_in_grace_period(now_seconds):
            previous = self._previous_entries(newest)
            removed = removed_names(previous.values(), newest) if newest else set()
            # If another entry has the address, the previous upstream is gone: it may
            # have restarted under another name.
            used_addresses = {entry.address for entry in listed.values()}
            self._expired = {
                name: entry
                for name, entry in previous.items()
                if name not in listed
                and name not in unread
                and name not in removed
                and entry.state != LEAVING_STATE
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
        own_version = list_version(self._version, 1)
        if newest is None or newest.version <= own_version:
            own = _as_listed_last(self._entries.values(), own_version)
            return {**self._expired, **own}
        # Other hosts read newer lists while this one could not. With its own older
        # list, upstreams removed meanwhile would be listed again and get requests.
        upstreams = [entry for entry in newest.hosts if entry.kind != "entry"]
        return _as_listed_last(upstreams, newest.version)

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


def can_expire_in(outage_seconds: float, renewal_seconds: float) -> bool:
    """Return whether entries renewed at an interval may expire in an outage."""
    return outage_seconds >= MIN_EXPIRY_RENEWALS * renewal_seconds


def removed_names(entries: Iterable[HostEntry], known: HostList) -> set[str]:
    """Return the retained ones of some entries that a list shows to be removed.

    A list of a store that was restored since then shows nothing: it may be a copy from
    before the upstream's start.
    """
    retained = {
        item.name for item in entries if is_newer_than_entry(known.version, item)
    }
    if not retained:
        return retained
    live = {entry.name for entry in known.hosts if entry.state != LEAVING_STATE}
    return retained - live


def is_newer_than_entry(version: int, entry: HostEntry) -> bool:
    """Return whether a list shows if a retained entry was removed, by its version."""
    last_version = entry.last_listed_version
    return 0 < last_version < version and era_of(last_version) == era_of(version)


def drop_removed(host_list: HostList, known: HostList) -> HostList:
    """Return a list without the retained entries that another shows to be removed."""
    removed = removed_names(host_list.hosts, known)
    if not removed:
        return host_list
    hosts = [entry for entry in host_list.hosts if entry.name not in removed]
    return attrs.evolve(host_list, hosts=hosts)


def _as_listed_last(entries: Iterable[HostEntry], version: int) -> dict[str, HostEntry]:
    """Return entries by name with the version of the last list that has them."""
    return {
        entry.name: attrs.evolve(
            entry, last_listed_version=entry.last_listed_version or version
        )
        for entry in entries
    }


def list_version(version: int, stage: int) -> int:
    """Return the list version for a store version and a stage of the grace period."""
    return join_version(era_of(version), 2 * revision_of(version) + stage)
