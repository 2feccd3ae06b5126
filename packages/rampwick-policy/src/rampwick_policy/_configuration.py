"""Following the accepted configuration: only forward, from any source.

Changes come from the platform's watch, from peers and from a fallback file, late,
twice and out of order. Whatever the order, the version in force never falls: of two
revisions the higher one is newer, but where the store was restored from an older copy
in between. Revisions are given out again then, and the one of the later era is newer.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import Change, ReprMixin, Tree

from ._errors import TreeError
from ._tree import TreeView, apply_change, empty_tree

#: Changes kept for peers that ask; one too far behind gets the whole tree.
KEPT_CHANGES = 256

#: Changes kept that wait for an earlier one.
MAX_PENDING = 4096


@attrs.frozen(repr=False)
class TreeVersion(ReprMixin):
    """Place of a tree in the order of all trees."""

    revision: int
    #: Era of the store in which the revision was written, where that is known.
    store_era: int | None = None

    def is_newer_than(self, other: "TreeVersion") -> bool:
        """Return whether a tree of this version replaces one of the other."""
        if self.is_of_another_era(other):
            return (self.store_era or 0) > (other.store_era or 0)
        return self.revision > other.revision

    def is_of_another_era(self, other: "TreeVersion") -> bool:
        """Return whether both eras are known and differ."""
        is_known = self.store_era is not None and other.store_era is not None
        return is_known and self.store_era != other.store_era

    def is_same(self, other: "TreeVersion") -> bool:
        """Return whether both stand for one tree."""
        return self.revision == other.revision and not self.is_of_another_era(other)


def tree_version(tree: Tree) -> TreeVersion:
    """Return the version of a tree."""
    return TreeVersion(tree.revision, tree.store_era)


@attrs.define(repr=False)
class ConfigurationFollower(ReprMixin):
    """The tree in force at this host and the changes that led to it."""

    view: TreeView = attrs.field(factory=lambda: TreeView(empty_tree()))
    #: Where the revision in force came from: platform, peer, file or none.
    source: str = "none"
    #: Why the newest accepted revision is not in force, or nothing.
    problem: str = ""
    _head: Tree = attrs.field(factory=empty_tree)
    _pending: dict[int, Change] = attrs.field(factory=dict)
    _recent: list[Change] = attrs.field(factory=list)

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.view.revision

    @property
    def head_revision(self) -> int:
        """Newest revision known; above the one in force only if it is invalid."""
        return self._head.revision

    @property
    def version(self) -> TreeVersion:
        """Version in force."""
        return tree_version(self.view.tree)

    @property
    def head(self) -> Tree:
        """Newest tree known, also if it could not be put in force."""
        return self._head

    @property
    def head_version(self) -> TreeVersion:
        """Newest version known."""
        return tree_version(self._head)

    @property
    def is_newest_in_force(self) -> bool:
        """Whether the newest version known could be put in force."""
        return self.version == self.head_version

    @property
    def has_gap(self) -> bool:
        """Whether later changes wait for one that has not come."""
        return bool(self._pending)

    def offer_tree(self, tree: Tree, source: str) -> bool:
        """Take a whole tree if it is newer; return whether it is now in force."""
        version = tree_version(tree)
        if not version.is_newer_than(self.head_version):
            return False
        if version.is_of_another_era(self.head_version):
            self._pending.clear()
        if version.store_era is None:
            tree = attrs.evolve(tree, store_era=self._head.store_era)
        self._head = tree
        self._recent.clear()
        return self._put_in_force([tree, *self._apply_pending()], source)

    def offer_fallback(self, tree: Tree) -> bool:
        """Take the settings' own tree if nothing else is known."""
        if self.revision or self.source != "none":
            return False
        self.view = TreeView(tree)
        self.source = "file"
        return True

    def offer_changes(
        self, changes: Iterable[Change], source: str, store_era: int | None = None
    ) -> bool:
        """Take changes in any order; return whether the revision rose.

        Those of another era than the newest known tree's have another base.
        """
        if TreeVersion(0, store_era).is_of_another_era(self.head_version):
            return False
        for change in changes:
            if change.revision > self.head_revision:
                self._pending.setdefault(change.revision, change)
        trees = self._apply_pending()
        while len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]
        return self._put_in_force(trees, source)

    def changes_after(self, known: TreeVersion) -> list[Change] | None:
        """Return the changes after a version, or none if they are not kept."""
        if not self.head_version.is_newer_than(known):
            return []
        if known.is_of_another_era(self.head_version):
            return None
        revision = known.revision
        if not self._recent or self._recent[0].revision > revision + 1:
            return None
        return [change for change in self._recent if change.revision > revision]

    def _apply_pending(self) -> list[Tree]:
        trees = []
        while self._head.revision + 1 in self._pending:
            change = self._pending.pop(self._head.revision + 1)
            self._head = apply_change(self._head, change)
            trees.append(self._head)
            self._recent.append(change)
        for revision in [item for item in self._pending if item <= self.head_revision]:
            del self._pending[revision]
        del self._recent[:-KEPT_CHANGES]
        return trees

    def _put_in_force(self, trees: list[Tree], source: str) -> bool:
        problem = ""
        for tree in reversed(trees):
            try:
                self.view = TreeView(tree)
            except TreeError as error:
                # Only a foreign writer gets here: the last valid tree stays in
                # force until a later revision is valid again.
                problem = problem or f"revision {tree.revision}: {error.message}"
                continue
            self.source = source
            self.problem = problem
            return True
        self.problem = problem or self.problem
        return False
