"""When a tree of a restored store replaces a higher revision that is in force.

A store that was restored from a copy shows an older tree until operators have written
again what was lost. Putting it in force would give back keys that were taken away;
never doing so would leave a host with a tree that nobody else has.
"""

import attrs

from rampwick_schema import ReprMixin, Tree, era_of

#: Time for which the tree of a copy is not taken over a higher revision.
COPY_HOLD_SECONDS = 20.0

#: The same for one that was written after the restore: lost revisions may be written
#: again one after another, and the last of them is the one to take.
REWRITE_HOLD_SECONDS = 1.0


@attrs.frozen(repr=False)
class ReadTree(ReprMixin):
    """A tree as a store shows it."""

    tree: Tree
    #: Version of the object that holds it, and of the store.
    version: int
    store_version: int


@attrs.frozen(repr=False)
class TreeOffer(ReprMixin):
    """A tree with the era in which it was written, and when it may be taken."""

    tree: Tree
    due_at_seconds: float


@attrs.define(repr=False)
class RestoredTrees(ReprMixin):
    """Places the trees that a store shows in the order of all trees."""

    _era: int = 0
    #: Version of the store as it was first read in this era.
    _first_version: int = 0
    _began_at_seconds: float = 0.0
    _version: int = 0
    _version_since_seconds: float = 0.0
    #: The last two that were found to be equal, since comparing whole trees is slow.
    _equal: tuple[int, Tree] | None = None

    def place(self, read: ReadTree, known: Tree, now_seconds: float) -> TreeOffer:
        """Return a tree as it is to be offered, and from when on.

        ``known`` is the newest one that this host knows.
        """
        self._note(read, now_seconds)
        if not self._era:
            return TreeOffer(attrs.evolve(read.tree, store_era=0), now_seconds)
        is_copied = read.version <= self._first_version
        if read.tree.revision > known.revision or self._is_equal(read, known):
            era = None if is_copied else self._era
            return TreeOffer(attrs.evolve(read.tree, store_era=era), now_seconds)
        due_at_seconds = self._version_since_seconds + REWRITE_HOLD_SECONDS
        if is_copied:
            due_at_seconds = self._began_at_seconds + COPY_HOLD_SECONDS
        return TreeOffer(
            attrs.evolve(read.tree, store_era=self._era),
            max(now_seconds, due_at_seconds),
        )

    def _note(self, read: ReadTree, now_seconds: float) -> None:
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
