"""The tree on the platform: a log of changes with one object for each revision.

A change is accepted by creating the object of the next revision, which only one of
several writers can do. Writers validate the whole tree with their change, based on the
immediately preceding revision, so every accepted revision is valid. A periodically
updated snapshot object spares starting hosts from reading the whole log.
"""

import re
import secrets
from collections.abc import Callable, Sequence

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    ConflictError,
    apply_change,
    touched_paths,
    validate_written_tree,
)
from rampwick_schema import Change, DataError, NodeEdit, ReprMixin, Tree, era_of

from ._api import (
    ABSENT,
    Listing,
    ObjectApi,
    PlatformError,
    StoredObject,
    VersionConflictError,
)
from ._records import decode_record, encode_record, put_idempotent

CHANGES_PREFIX = "config/changes/"
CHANGE_KEY = re.compile(re.escape(CHANGES_PREFIX) + "[0-9]{12,}")
SNAPSHOT_KEY = "config/snapshot"

#: Number of revisions between two updates of the snapshot.
SNAPSHOT_INTERVAL = 32

STEP = "write tree"


@attrs.frozen(repr=False)
class StoredTree(ReprMixin):
    """The newest tree and the version of the store at which it was read."""

    tree: Tree
    store_version: int


def change_key(revision: int) -> str:
    """Return the key of the object for a revision; keys sort by revision."""
    return f"{CHANGES_PREFIX}{revision:012d}"


class TreeStore:
    """Reads and writes the tree with the object API."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    @property
    def era(self) -> int:
        """Number of the store's restores."""
        return self._api.era

    async def load(self, base: Tree | None = None) -> StoredTree:
        """Return the newest tree, based on ``base`` or the snapshot."""
        follower = ConfigurationFollower()
        snapshot = base or await self._read_snapshot()
        if snapshot is not None:
            follower.offer_tree(snapshot, "platform")
        after_key = change_key(follower.head_revision)
        listing = await self._api.list_objects(CHANGES_PREFIX, after_key)
        follower.offer_changes(decode_changes(listing), "platform")
        return StoredTree(follower.view.tree, listing.version)

    async def history(self, after_revision: int = 0) -> list[Change]:
        """Return the changes after a revision, oldest first."""
        listing = await self._api.list_objects(
            CHANGES_PREFIX, change_key(after_revision)
        )
        return decode_changes(listing)

    async def watch(self, after_version: int, timeout_seconds: float) -> Listing:
        """Wait for changes written after a version of the store."""
        return await self._api.watch(CHANGES_PREFIX, after_version, timeout_seconds)

    async def propose(
        self,
        make_edits: Callable[[Tree], Sequence[NodeEdit]],
        *,
        author: str,
        base_revision: int | None,
        now_seconds: float,
    ) -> Change:
        """Write a change and return it, or raise and leave the tree unchanged.

        ``make_edits`` is called with the newest tree. With a ``base_revision``,
        ConflictError is raised if any of the edited nodes has changed since; its
        message has the changes and their authors. ConflictError is also raised if the
        store is older than the base revision or was restored in the meantime.
        """
        stored = await self.load()
        if base_revision is not None and base_revision > stored.tree.revision:
            raise ConflictError(
                f"revision {base_revision} is not in the store, which has "
                f"{stored.tree.revision}: it was restored from an older copy",
                step=STEP,
            )
        edits = list(make_edits(stored.tree))
        if base_revision is not None:
            await self._check_unchanged(edits, base_revision)
        change = Change(
            revision=stored.tree.revision + 1,
            write_id=secrets.token_hex(8),
            author=author,
            made_at_seconds=now_seconds,
            edits=edits,
        )
        tree = apply_change(stored.tree, change)
        validate_written_tree(tree)
        try:
            key = change_key(change.revision)
            version = await put_idempotent(self._api, key, change, ABSENT)
        except VersionConflictError:
            raise await self._conflict_error(stored.tree.revision) from None
        if era_of(version) != era_of(stored.store_version):
            raise ConflictError(
                "the store was restored from an older copy as revision "
                f"{change.revision} was written: see the history",
                step=STEP,
            )
        await self._update_snapshot(tree)
        return change

    async def _check_unchanged(
        self, edits: Sequence[NodeEdit], base_revision: int
    ) -> None:
        since = await self.history(base_revision)
        edited_paths = {edit.path for edit in edits}
        conflicting = [
            change for change in since if edited_paths & touched_paths([change])
        ]
        if conflicting:
            raise ConflictError(describe_changes(conflicting), step=STEP)

    async def _conflict_error(self, base_revision: int) -> ConflictError:
        since = await self.history(base_revision)
        return ConflictError(describe_changes(since), step=STEP)

    async def _read_snapshot(self) -> Tree | None:
        stored = await self._api.get(SNAPSHOT_KEY)
        return decode_record(stored, Tree) if stored else None

    async def _update_snapshot(self, tree: Tree) -> None:
        # Best effort: the log is complete without the snapshot.
        if tree.revision % SNAPSHOT_INTERVAL:
            return
        try:
            stored = await self._api.get(SNAPSHOT_KEY)
            if stored and decode_record(stored, Tree).revision >= tree.revision:
                return
            version = stored.version if stored else ABSENT
            await self._api.put(SNAPSHOT_KEY, encode_record(tree), version)
        except PlatformError:
            return


def decode_changes(listing: Listing) -> list[Change]:
    """Return the changes in a listing, or raise DataError if one is invalid.

    No change after an invalid one may count as known. Objects of other writers, whose
    keys are of no revision, are not part of the log.
    """
    return [
        _decode_change(stored)
        for stored in listing.objects
        if CHANGE_KEY.fullmatch(stored.key)
    ]


def _decode_change(stored: StoredObject) -> Change:
    change = decode_record(stored, Change)
    if stored.key != change_key(change.revision):
        message = f"holds revision {change.revision}"
        raise DataError(message, step="read Change", peer=stored.key)
    return change


def describe_changes(changes: Sequence[Change]) -> str:
    """Return a one-line description of the changes of other writers."""
    parts = [
        f"revision {change.revision} by {change.author} changed "
        + ", ".join(sorted(touched_paths([change])))
        for change in changes
    ]
    return "; ".join(parts) or "another write was first"
