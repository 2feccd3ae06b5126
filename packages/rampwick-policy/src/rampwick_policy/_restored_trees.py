"""Decides when a tree from a restored store replaces a higher revision in force.

A store that was restored from a copy returns an older tree until operators have written
the lost changes again. Applying the older tree at once would reactivate revoked keys;
never applying it would leave a host with a tree that differs from all others.
"""

import attrs

from rampwick_schema import ReprMixin, Tree, era_of

#: Time for which the tree of a copy does not replace a higher revision.
COPY_HOLD_SECONDS = 20.0

#: The same for a tree that was written after the restore. Lost revisions may be written
#: again one by one, and only the last of them should be applied.
REWRITE_HOLD_SECONDS = 1.0


@attrs.frozen(repr=False)
class ReadTree(ReprMixin):
    """A tree as read from a store."""

    tree: Tree
    #: Versions of the object that contains the tree, and of the store.
    version: int
    store_version: int


@attrs.frozen(repr=False)
class TreeOffer(ReprMixin):
    """A tree with its store era, and the time from which it may be applied."""

    tree: Tree
    applies_at_seconds: float


@attrs.define(repr=False)
class RestoredTrees(ReprMixin):
    """Assigns eras to the trees read from a store, which may have been restored."""

    _era: int = 0
    #: Version of the store as it was first read in this era.
    _first_version: int = 0
    _began_at_seconds: float = 0.0
    _version: int = 0
    _version_since_seconds: float = 0.0
    #: The last pair found to be equal; a cache, since comparing full trees is slow.
    _equal: tuple[int, Tree] | None = None

    def make_offer(self, read: ReadTree, known: Tree, now_seconds: float) -> TreeOffer:
        """Return a read tree with its era, and the time from which it applies.

        ``known`` is the newest tree that this host has.
        """
        self._record_read(read, now_seconds)
        if not self._era:
            return TreeOffer(attrs.evolve(read.tree, store_era=0), now_seconds)
        is_copied = read.version <= self._first_version
        if read.tree.revision > known.revision or self._is_equal(read, known):
            era = None if is_copied else self._era
            return TreeOffer(attrs.evolve(read.tree, store_era=era), now_seconds)
        applies_at_seconds = self._version_since_seconds + REWRITE_HOLD_SECONDS
        if is_copied:
            applies_at_seconds = self._began_at_seconds + COPY_HOLD_SECONDS
        return TreeOffer(
            attrs.evolve(read.tree, store_era=self._era),
            max(now_seconds, applies_at_seconds),
        )

    def _record_read(self, read: ReadTree, now_seconds: float) -> None:
        era = era_of(read.store_version)
        if era != self._era:
            self._era = era
            self._first_version = read.store_version
            self._began_at_seconds = now_seconds
        if read.version != self._version:
            self._version = read.version
            self._version_since_seconds = now_seconds

    def _is_equal(self, read: ReadTree, known: Tree) -> bool:
        if read.tree.revision != known.revision:
            return False
        found = self._equal
        if found is not None and found[0] == read.version and found[1] is known:
            return True
        is_equal = read.tree == attrs.evolve(known, store_era=read.tree.store_era)
        self._equal = (read.version, known) if is_equal else None
        return is_equal
