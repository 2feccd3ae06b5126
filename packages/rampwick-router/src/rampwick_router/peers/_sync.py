"""Synchronization of configuration and host lists between peers.

Differences are sent where possible, whole states otherwise. A host that does not read
the platform polls a host that does for the age of its data. The ages in a reply count
from the time of the request, so that a late reply never makes old data look fresh.
"""

import math
from collections.abc import Callable
from typing import Any

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    TargetsReceived,
    TreeVersion,
    diff_hosts,
    patch_hosts,
)
from rampwick_schema import (
    ChangesReply,
    ChangesRequest,
    ConfirmReply,
    ConfirmRequest,
    FleetSummary,
    HostList,
    HostListChanges,
    HostListReply,
    HostListRequest,
    ReprMixin,
    Summary,
    TreeReply,
)

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ..control import ConfigurationTask, HostListTask
from ._links import Link

#: Maximum number of changes in one reply; the rest is requested again.
CHANGES_PER_REPLY = 64

#: Versions of the host list retained for computing differences.
MAX_RETAINED_LISTS = 32

#: Maximum number of requests that wait for a reply.
MAX_PENDING_REQUESTS = 64

#: Source of targets received from a reader, for logs.
READER_SOURCE = "report from a reader"

#: Reported instead of an unknown age.
MAX_REPORTED_AGE_SECONDS = 1e6

log = ComponentLogger("peers")


@attrs.define(repr=False)
class PeerSync(ReprMixin):
    """Exchanges configuration and host lists with peers."""

    _follower: ConfigurationFollower
    _configuration: ConfigurationTask
    _hosts: HostListTask
    _scheduler: SchedulerTask
    _read_clock: Callable[[], float]
    _lists: dict[int, HostList] = attrs.field(factory=dict)
    _requested_at: dict[int, float] = attrs.field(factory=dict)
    _sequence: int = 0
    #: Peers whose lists were requested to compare retained entries with them.
    _compared_peers: set[str] = attrs.field(factory=set)
    #: Time of the last reply.
    answered_at_seconds: float = -math.inf

    def handle(self, link: Link, message: Any) -> bool:
        """Handle a synchronization message; return false for any other message."""
        if isinstance(message, ChangesRequest):
            known = TreeVersion(message.after_revision, message.store_era)
            self._reply_changes(link, known)
        elif isinstance(message, ChangesReply):
            if self._follower.offer_changes(message.changes, "peer", message.store_era):
                self._configuration.announce()
        elif isinstance(message, TreeReply):
            if self._follower.offer_tree(message.tree, "peer"):
                self._configuration.announce()
        elif isinstance(message, HostListRequest):
            self._reply_hosts(link, message.after_version)
        elif isinstance(message, HostListReply):
            self._hosts.offer(message.host_list)
        elif isinstance(message, HostListChanges):
            self._patch_hosts(link, message)
        elif isinstance(message, ConfirmRequest):
            link.put(self._confirm_reply(message.sequence))
        elif isinstance(message, ConfirmReply):
            self._handle_confirm_reply(link, message)
        else:
            return False
        return True

    def own_ages(self) -> tuple[float, float]:
        """Return the ages of the configuration and the host list, for peers."""
        now_seconds = self._read_clock()
        return (
            _clamp_age(self._configuration.age_seconds(now_seconds)),
            _clamp_age(self._hosts.age_seconds(now_seconds)),
        )

    def with_own_versions(self, summary: Summary) -> Summary:
        """Return an aggregate with the versions held by this host."""
        return attrs.evolve(
            summary,
            revision=self._follower.revision,
            host_list_version=self._hosts.version,
            store_era=self._follower.version.store_era,
        )

    def apply_ages(self, fleet: FleetSummary, requested_at_seconds: float) -> None:
        """Apply the ages from a relay's summary.

        They count from the time at which this host sent the newest of its own summaries
        that the relay had received.
        """
        self._confirm(
            requested_at_seconds,
            TreeVersion(fleet.summary.revision, fleet.summary.store_era),
            fleet.revision_age_seconds,
            fleet.summary.host_list_version,
            fleet.host_list_age_seconds,
            TargetsReceived(
                tuple(fleet.targets), READER_SOURCE, named=tuple(fleet.named)
            ),
        )

    def request_missing(self, link: Link, summary: Summary) -> None:
        """Request newer versions if a peer has them."""
        version = TreeVersion(summary.revision, summary.store_era)
        self._request_newer(link, version, summary.host_list_version)

    def request_ages(self, link: Link) -> None:
        """Request the ages of a peer's data."""
        self._sequence += 1
        self._requested_at[self._sequence] = self._read_clock()
        while len(self._requested_at) > MAX_PENDING_REQUESTS:
            del self._requested_at[next(iter(self._requested_at))]
        link.put(ConfirmRequest(self._sequence))

    def _request_newer(
        self, link: Link, version: TreeVersion, list_version: int
    ) -> None:
        known = self._follower.head_version
        if version.is_newer_than(known):
            link.put(ChangesRequest(known.revision, known.store_era))
        if list_version > self._hosts.version:
            # A difference does not have what was dropped from the base, and does not
            # tell which of the entries retained in it are still listed.
            needs_whole = self._hosts.is_partial or self._hosts.retains_entries()
            base_version = -1 if needs_whole else self._hosts.version
            link.put(HostListRequest(base_version))
        elif self._must_compare(link, list_version):
            self._compared_peers.add(link.peer.name)
            link.put(HostListRequest(-1))

    def _must_compare(self, link: Link, list_version: int) -> bool:
        """Return whether a peer's list, not newer than the own one, is requested.

        It is once for each peer and outage: it may show which of the entries retained
        here were removed while this host was cut off.
        """
        if not self._hosts.retains_entries():
            self._compared_peers.clear()
            return False
        if link.peer.name in self._compared_peers:
            return False
        return self._hosts.must_compare(list_version)

    def _reply_changes(self, link: Link, known: TreeVersion) -> None:
        changes = self._follower.changes_after(known)
        if changes is None:
            link.put(TreeReply(self._follower.view.tree))
        elif changes:
            store_era = self._follower.head_version.store_era
            link.put(ChangesReply(changes[:CHANGES_PER_REPLY], store_era))

    def _reply_hosts(self, link: Link, after_version: int) -> None:
        current = self._hosts.host_list
        if self._hosts.version <= after_version:
            return
        if not self._hosts.is_partial:
            self._lists[self._hosts.version] = current
        while len(self._lists) > MAX_RETAINED_LISTS:
            del self._lists[next(iter(self._lists))]
        known = self._lists.get(after_version)
        if known is None:
            link.put(HostListReply(current))
        else:
            link.put(diff_hosts(known, current))

    def _patch_hosts(self, link: Link, changes: HostListChanges) -> None:
        patched = patch_hosts(self._hosts.host_list, changes)
        if patched is not None:
            self._hosts.offer(patched)
        elif changes.version > self._hosts.version:
            # The base version of the difference is no longer current: request the whole
            # list.
            link.put(HostListRequest(-1))

    def _confirm_reply(self, sequence: int) -> ConfirmReply:
        revision_age_seconds, host_list_age_seconds = self.own_ages()
        return ConfirmReply(
            sequence=sequence,
            revision=self._follower.revision,
            revision_age_seconds=revision_age_seconds,
            host_list_version=self._hosts.version,
            host_list_age_seconds=host_list_age_seconds,
            targets=self._scheduler.targets(),
            named=self._scheduler.named_weights(),
            store_era=self._follower.version.store_era,
        )

    def _handle_confirm_reply(self, link: Link, reply: ConfirmReply) -> None:
        requested_at_seconds = self._requested_at.pop(reply.sequence, None)
        if requested_at_seconds is None:
            return
        version = TreeVersion(reply.revision, reply.store_era)
        self._request_newer(link, version, reply.host_list_version)
        self._confirm(
            requested_at_seconds,
            version,
            reply.revision_age_seconds,
            reply.host_list_version,
            reply.host_list_age_seconds,
            TargetsReceived(
                tuple(reply.targets), READER_SOURCE, named=tuple(reply.named)
            ),
        )

    def _confirm(
        self,
        requested_at_seconds: float,
        version: TreeVersion,
        revision_age_seconds: float,
        list_version: int,
        list_age_seconds: float,
        targets_read: TargetsReceived,
    ) -> None:
        self.answered_at_seconds = self._read_clock()
        is_same = version.revision > 0 and version.is_same(self._follower.version)
        if is_same and self._follower.is_newest_in_force:
            self._configuration.confirm(requested_at_seconds - revision_age_seconds)
        if list_version == self._hosts.version:
            self._hosts.confirm(requested_at_seconds - list_age_seconds)
        if targets_read.targets:
            self._scheduler.post(targets_read)


def _clamp_age(age_seconds: float) -> float:
    return max(0.0, min(MAX_REPORTED_AGE_SECONDS, age_seconds))
