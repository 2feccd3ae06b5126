"""What readers of the platform know, between peers: differences where they suffice.

A host that does not read the platform asks one that does how old its knowledge is.
The reply's ages count from when the question was sent, so that a late reply never
makes old knowledge look fresh.
"""

import math
from collections.abc import Callable
from typing import Any

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    TargetsRead,
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
    Shown,
    Summary,
    TreeReply,
)

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ..control import ConfigurationTask, HostListTask
from ._links import Link

#: Changes in one reply; the rest is asked for again.
CHANGES_PER_REPLY = 64

#: Versions of the host list kept to tell differences to.
KEPT_LISTS = 32

#: Questions remembered until they are answered.
KEPT_QUESTIONS = 64

#: Who told this host of targets, as its log says it.
READER_SOURCE = "a reader says so"

#: Told instead of an age that is not known.
LONG_AGO_SECONDS = 1e6

log = ComponentLogger("peers")


@attrs.define(repr=False)
class PeerSync(Shown):
    """Answers peers' questions about configuration and hosts, and asks its own."""

    _follower: ConfigurationFollower
    _configuration: ConfigurationTask
    _hosts: HostListTask
    _scheduler: SchedulerTask
    _read_clock: Callable[[], float]
    _lists: dict[int, HostList] = attrs.field(factory=dict)
    _asked_at: dict[int, float] = attrs.field(factory=dict)
    _sequence: int = 0
    #: When a question was answered last.
    answered_at_seconds: float = -math.inf

    def take(self, link: Link, message: Any) -> bool:
        """Take a message of this kind; return whether it is one."""
        if isinstance(message, ChangesRequest):
            known = TreeVersion(message.after_revision, message.store_era)
            self._answer_changes(link, known)
        elif isinstance(message, ChangesReply):
            if self._follower.offer_changes(message.changes, "peer", message.store_era):
                self._configuration.announce()
        elif isinstance(message, TreeReply):
            if self._follower.offer_tree(message.tree, "peer"):
                self._configuration.announce()
        elif isinstance(message, HostListRequest):
            self._answer_hosts(link, message.after_version)
        elif isinstance(message, HostListReply):
            self._hosts.offer(message.host_list)
        elif isinstance(message, HostListChanges):
            self._patch_hosts(link, message)
        elif isinstance(message, ConfirmRequest):
            link.put(self._confirmation(message.sequence))
        elif isinstance(message, ConfirmReply):
            self._take_confirmation(link, message)
        else:
            return False
        return True

    def own_ages(self) -> tuple[float, float]:
        """Return the ages of the configuration and of the host list, to be told."""
        now_seconds = self._read_clock()
        return (
            _tellable(self._configuration.age_seconds(now_seconds)),
            _tellable(self._hosts.age_seconds(now_seconds)),
        )

    def with_own_versions(self, summary: Summary) -> Summary:
        """Return a summary of many hosts with the versions that this one can give."""
        return attrs.evolve(
            summary,
            revision=self._follower.revision,
            host_list_version=self._hosts.version,
            store_era=self._follower.version.store_era,
        )

    def take_ages(self, fleet: FleetSummary, asked_at_seconds: float) -> None:
        """Take the ages that a relay tells, counted from a word that it had heard."""
        self._confirm(
            asked_at_seconds,
            TreeVersion(fleet.summary.revision, fleet.summary.store_era),
            fleet.revision_age_seconds,
            fleet.summary.host_list_version,
            fleet.host_list_age_seconds,
            TargetsRead(tuple(fleet.targets), READER_SOURCE, named=tuple(fleet.named)),
        )

    def compare(self, link: Link, summary: Summary) -> None:
        """Ask a peer for what it knows and this host does not."""
        version = TreeVersion(summary.revision, summary.store_era)
        self._ask_for_newer(link, version, summary.host_list_version)

    def ask_ages(self, link: Link) -> None:
        """Ask a peer how old its knowledge is."""
        self._sequence += 1
        self._asked_at[self._sequence] = self._read_clock()
        while len(self._asked_at) > KEPT_QUESTIONS:
            del self._asked_at[next(iter(self._asked_at))]
        link.put(ConfirmRequest(self._sequence))

    def _ask_for_newer(
        self, link: Link, version: TreeVersion, list_version: int
    ) -> None:
        known = self._follower.head_version
        if version.is_newer_than(known):
            link.put(ChangesRequest(known.revision, known.store_era))
        if list_version > self._hosts.version:
            link.put(HostListRequest(self._hosts.version))

    def _answer_changes(self, link: Link, known: TreeVersion) -> None:
        changes = self._follower.changes_after(known)
        if changes is None:
            link.put(TreeReply(self._follower.view.tree))
        elif changes:
            store_era = self._follower.head_version.store_era
            link.put(ChangesReply(changes[:CHANGES_PER_REPLY], store_era))

    def _answer_hosts(self, link: Link, after_version: int) -> None:
        current = self._hosts.host_list
        if self._hosts.version <= after_version:
            return
        self._lists[self._hosts.version] = current
        while len(self._lists) > KEPT_LISTS:
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
            # Another list came between: the whole one settles it.
            link.put(HostListRequest(-1))

    def _confirmation(self, sequence: int) -> ConfirmReply:
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

    def _take_confirmation(self, link: Link, reply: ConfirmReply) -> None:
        asked_at_seconds = self._asked_at.pop(reply.sequence, None)
        if asked_at_seconds is None:
            return
        version = TreeVersion(reply.revision, reply.store_era)
        self._ask_for_newer(link, version, reply.host_list_version)
        self._confirm(
            asked_at_seconds,
            version,
            reply.revision_age_seconds,
            reply.host_list_version,
            reply.host_list_age_seconds,
            TargetsRead(tuple(reply.targets), READER_SOURCE, named=tuple(reply.named)),
        )

    def _confirm(
        self,
        asked_at_seconds: float,
        version: TreeVersion,
        revision_age_seconds: float,
        list_version: int,
        list_age_seconds: float,
        told: TargetsRead,
    ) -> None:
        self.answered_at_seconds = self._read_clock()
        is_same = version.revision > 0 and version.is_same(self._follower.version)
        if is_same and self._follower.is_newest_in_force:
            self._configuration.confirm(asked_at_seconds - revision_age_seconds)
        if list_version == self._hosts.version:
            self._hosts.confirm(asked_at_seconds - list_age_seconds)
        if told.targets:
            self._scheduler.post(told)


def _tellable(age_seconds: float) -> float:
    return max(0.0, min(LONG_AGO_SECONDS, age_seconds))
