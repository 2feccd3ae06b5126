"""The tree on the platform: a log of changes, one object for each revision.

Creating the object of the next revision is the acceptance: of two writers only one
can. The writer has validated the whole tree as its change leaves it, and its base is
the very revision before, so every accepted revision is valid. A snapshot object,
renewed now and then, saves starting hosts from reading the whole log.
"""

import secrets
from collections.abc import Callable, Sequence

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    ConflictError,
    TreeView,
    apply_change,
    touched_paths,
)
from rampwick_schema import Change, DataError, NodeEdit, Shown, Tree, era_of

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
SNAPSHOT_KEY = "config/snapshot"

#: A writer renews the snapshot when its revision is a multiple of this.
SNAPSHOT_INTERVAL = 32

STEP = "write tree"


@attrs.frozen(repr=False)
class StoredTree(Shown):
    """The newest tree and the store's version that it was read at."""

    tree: Tree
    store_version: int


def change_key(revision: int) -> str:
    """Return the key of a revision's object; keys sort by revision."""
    return f"{CHANGES_PREFIX}{revision:012d}"


class TreeStore:
    """Reads and writes the tree through the object API."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    @property
    def era(self) -> int:
        """Number of the store's restores."""
        return self._api.era

    async def load(self, base: Tree | None = None) -> StoredTree:
        """Return the newest tree, starting from ``base`` or the snapshot."""
        follower = ConfigurationFollower()
        snapshot = base or await self._read_snapshot()
        if snapshot is not None:
            follower.offer_tree(snapshot, "platform")
        after_key = change_key(follower.head_revision)
        listing = await self._api.list_objects(CHANGES_PREFIX, after_key)
        follower.offer_changes(decode_changes(listing), "platform")
        return StoredTree(follower.view.tree, listing.version)

    async def history(self, after_revision: int = 0) -> list[Change]:
        """Return the changes after a revision, the oldest first."""
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
        """Have a change accepted, or raise and leave everything as it was.

        ``make_edits`` gets the newest tree. With a ``base_revision`` the change is
        refused if any of its nodes was changed since: ConflictError says by whom. It is
        refused, too, if the store is older than the base, or restored meanwhile.
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
            await self._check_untouched(edits, base_revision)
        change = Change(
            revision=stored.tree.revision + 1,
            write_id=secrets.token_hex(8),
            author=author,
            made_at_seconds=now_seconds,
            edits=edits,
        )
        tree = apply_change(stored.tree, change)
        TreeView(tree)
        try:
            key = change_key(change.revision)
            version = await put_idempotent(self._api, key, change, ABSENT)
        except VersionConflictError:
            raise await self._conflict(stored.tree.revision) from None
        if era_of(version) != era_of(stored.store_version):
            raise ConflictError(
                "the store was restored from an older copy as revision "
                f"{change.revision} was written: see the history",
                step=STEP,
            )
        await self._renew_snapshot(tree)
        return change

    async def _check_untouched(
        self, edits: Sequence[NodeEdit], base_revision: int
    ) -> None:
        since = await self.history(base_revision)
        mine = {edit.path for edit in edits}
        clashing = [change for change in since if mine & touched_paths([change])]
        if clashing:
            raise ConflictError(describe_changes(clashing), step=STEP)

    async def _conflict(self, base_revision: int) -> ConflictError:
        since = await self.history(base_revision)
        return ConflictError(describe_changes(since), step=STEP)

    async def _read_snapshot(self) -> Tree | None:
        stored = await self._api.get(SNAPSHOT_KEY)
        return decode_record(stored, Tree) if stored else None

    async def _renew_snapshot(self, tree: Tree) -> None:
        # Best effort: without it, the log is still whole.
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
    """Return the changes of a listing; one that can't be read raises DataError."""
    return [_decode_change(stored) for stored in listing.objects]


def _decode_change(stored: StoredObject) -> Change:
    change = decode_record(stored, Change)
    if stored.key != change_key(change.revision):
        message = f"holds revision {change.revision}"
        raise DataError(message, step="read Change", peer=stored.key)
    return change


def describe_changes(changes: Sequence[Change]) -> str:
    """Return one line that tells a losing writer what others changed."""
    parts = [
        f"revision {change.revision} by {change.author} changed "
        + ", ".join(sorted(touched_paths([change])))
        for change in changes
    ]
    return "; ".join(parts) or "another write was first"
