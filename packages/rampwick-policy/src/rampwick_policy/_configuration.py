"""Tracks the accepted configuration from several sources, without going back.

Changes arrive from the watch of the platform, from peers and from a fallback file, and
may be late, duplicated or out of order. The version in force never goes back: the
higher of two revisions is newer, unless the store was restored from an older copy in
between. Revision numbers are then reused, and the one of the later era is newer.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import Change, ReprMixin, Tree

from ._errors import TreeError
from ._tree import TreeView, apply_change, empty_tree

#: Recent changes retained for peers; a peer further behind gets the full tree.
MAX_RECENT_CHANGES = 256

#: Maximum number of changes that wait for an earlier one.
MAX_PENDING = 4096


@attrs.frozen(repr=False)
class TreeVersion(ReprMixin):
    """Version of a tree, ordered by store era and revision."""

    revision: int
    #: Era of the store in which the revision was written, if known.
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
        """Return whether both identify the same tree."""
        return self.revision == other.revision and not self.is_of_another_era(other)


def tree_version(tree: Tree) -> TreeVersion:
    """Return the version of a tree."""
    return TreeVersion(tree.revision, tree.store_era)


@attrs.define(repr=False)
class ConfigurationFollower(ReprMixin):
    """The tree in force at this host and the changes that led to it."""

    view: TreeView = attrs.field(factory=lambda: TreeView(empty_tree()))
    #: Source of the revision in force: platform, peer, file or none.
    source: str = "none"
    #: Why the newest accepted revision is not in force; empty if it is.
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
        """Newest known revision; higher than the one in force only if it is invalid."""
        return self._head.revision

    @property
    def version(self) -> TreeVersion:
        """Version in force."""
        return tree_version(self.view.tree)

    @property
    def head(self) -> Tree:
        """Newest known tree, even if it is invalid and not in force."""
        return self._head

    @property
    def head_version(self) -> TreeVersion:
        """Newest known version."""
        return tree_version(self._head)

    @property
    def is_newest_in_force(self) -> bool:
        """Whether the newest known version is in force."""
        return self.version == self.head_version

    @property
    def has_gap(self) -> bool:
        """Whether changes wait for an earlier one that is missing."""
        return bool(self._pending)

    def offer_tree(self, tree: Tree, source: str) -> bool:
        """Apply a full tree if it is newer; return whether it is now in force."""
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
        """Apply the tree of the settings file if no other is known."""
        if self.revision or self.source != "none":
            return False
        self.view = TreeView(tree)
        self.source = "file"
        return True

    def offer_changes(
        self, changes: Iterable[Change], source: str, store_era: int | None = None
    ) -> bool:
        """Apply changes in any order; return whether the revision has increased.

        Changes of another era than the newest known tree are ignored, since they are
        based on another tree.
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
        """Return the changes after a version; ``None`` if they are not retained."""
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
        del self._recent[:-MAX_RECENT_CHANGES]
        return trees

    def _put_in_force(self, trees: list[Tree], source: str) -> bool:
        problem = ""
        for tree in reversed(trees):
            try:
                self.view = TreeView(tree)
            except TreeError as error:
                # Only other writers store invalid trees. The last valid tree stays in
                # force until a later revision is valid.
                problem = problem or f"revision {tree.revision}: {error.message}"
                continue
            self.source = source
            self.problem = problem
            return True
        self.problem = problem or self.problem
        return False
