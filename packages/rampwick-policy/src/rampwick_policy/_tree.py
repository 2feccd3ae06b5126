"""The tree of workspaces: paths, inheritance, validation and changes.

All functions are pure. A ``TreeView`` is built once per revision and answers look-ups
from precomputed maps.
"""

import hashlib
import re
from collections.abc import Iterable, Iterator
from functools import lru_cache

import attrs

from rampwick_schema import Change, Node, NodeEdit, ReprMixin, Tree

from ._errors import ConflictError, TreeError
from ._routes import RouteIndex, routing_problems

ROOT = "/"

#: A path component that operators write: letters, digits, dash, underscore and dot.
_WRITTEN_COMPONENT = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")
#: A path component from any source, in which other characters are percent-encoded.
_COMPONENT = re.compile(
    r"(?:[A-Za-z0-9]|%[0-9A-F]{2})(?:[A-Za-z0-9_.~-]|%[0-9A-F]{2})*\Z"
)
_KEY_HASH = re.compile(r"[0-9a-f]{64}\Z")

#: Values that a node inherits from the nearest ancestor that sets them.
INHERITED = ("deadline_seconds", "priority_class", "miss_price", "models")

DEFAULT_CLASS = "interactive"

#: Maximum depth of a path, which bounds the length of share vectors.
MAX_DEPTH = 8

#: Maximum number of nodes, so that the compressed snapshot of a tree stays under 1 MB.
MAX_NODES = 5000
#: The same in a tree that operators write, whose snapshot is stored uncompressed.
MAX_WRITTEN_NODES = 2000

STEP = "validate tree"


@attrs.frozen(repr=False)
class LimitedNode(ReprMixin):
    """A node on the path of a workspace that sets a limit."""

    path: str
    tokens_per_second: float | None
    burst_tokens: float
    #: Tokens charged for a request that does not specify a count.
    plain_tokens: float
    #: Whether each request counts as one token.
    counts_requests: bool
    max_running_count: int | None
    max_waiting_count: int | None


@attrs.frozen(repr=False)
class Workspace(ReprMixin):
    """A workspace with its inherited values resolved."""

    path: str
    #: Weight of each node on the path, from below the root to the workspace.
    weights: tuple[float, ...]
    limits: tuple[LimitedNode, ...]
    deadline_seconds: float | None = None
    priority_class: str = DEFAULT_CLASS
    miss_price: float | None = None
    models: frozenset[str] | None = None
    #: Rank of its requests on routes; ``None`` uses the default of the route.
    priority_rank: int | None = None
    #: Isolation domain of the prompt cache on routes.
    cache_domain: str = ""

    @property
    def lineage(self) -> tuple[str, ...]:
        """Paths from below the root to the workspace, inclusive."""
        return lineage(self.path)[1:]

    def allows_model(self, model: str) -> bool:
        """Return whether callers of this workspace may use ``model``."""
        return self.models is None or model in self.models


class TreeView:
    """A validated tree with the look-ups that requests need."""

    def __init__(self, tree: Tree) -> None:
        validate_tree(tree)
        self.tree = tree
        self.routes = RouteIndex(tree.routing)
        shared_domain = _shared_cache_domain(tree)
        self._workspaces = {
            path: attrs.evolve(
                resolve_workspace(tree, path),
                cache_domain=path if node.is_isolated else shared_domain,
            )
            for path, node in tree.nodes.items()
            if node.is_workspace
        }
        #: Workspace of all callers of public routes.
        self.public_workspace = Workspace(ROOT, (), (), cache_domain=shared_domain)
        self._by_key_hash = {
            key_hash: path
            for path, node in tree.nodes.items()
            for key_hash in node.key_hashes
        }

    @property
    def revision(self) -> int:
        """Revision of the tree."""
        return self.tree.revision

    @property
    def workspaces(self) -> dict[str, Workspace]:
        """Workspaces by path."""
        return self._workspaces

    def find_workspace(self, key_hash: str) -> Workspace | None:
        """Return the workspace with this SHA-256 of a bearer key, if any."""
        path = self._by_key_hash.get(key_hash)
        return self._workspaces.get(path) if path else None

    def is_unusable_key(self, key_hash: str) -> bool:
        """Return whether a key belongs to a node that can't be served."""
        path = self._by_key_hash.get(key_hash)
        return path is not None and path not in self._workspaces


def empty_tree() -> Tree:
    """Return the tree of revision 0, before the first change."""
    return Tree(revision=0, nodes={ROOT: Node()})


@lru_cache(maxsize=8192)
def lineage(path: str) -> tuple[str, ...]:
    """Return the root, each ancestor and the path itself, in that order."""
    parts = [part for part in path.split("/") if part]
    depths = range(1, len(parts) + 1)
    return (ROOT, *["/" + "/".join(parts[:depth]) for depth in depths])


def parent_of(path: str) -> str:
    """Return the path of the parent; the root is its own parent."""
    return path.rsplit("/", 1)[0] or ROOT


def resolve_workspace(tree: Tree, path: str) -> Workspace:
    """Return the workspace at ``path`` with inherited values filled in."""
    nodes = [(step, tree.nodes[step]) for step in lineage(path)]
    values = {}
    for _, node in nodes:
        for name in INHERITED:
            if getattr(node, name) is not None:
                values[name] = getattr(node, name)
    if "models" in values:
        values["models"] = frozenset(values["models"])
    return Workspace(
        path=path,
        weights=tuple(node.weight or 1.0 for _, node in nodes[1:]),
        limits=tuple(_limits_of(nodes)),
        priority_rank=tree.nodes[path].priority_rank,
        **values,
    )


def _shared_cache_domain(tree: Tree) -> str:
    """Return the cache domain of all workspaces that are not isolated.

    It changes with the set of isolated workspaces, since a workspace that becomes
    isolated has entries in the old domain.
    """
    isolated = sorted(path for path, node in tree.nodes.items() if node.is_isolated)
    digest = hashlib.blake2b("\0".join(isolated).encode(), digest_size=8)
    return f"shared-{digest.hexdigest()}"


def _limits_of(nodes: list[tuple[str, Node]]) -> Iterator[LimitedNode]:
    # A child without a limit is subject to the limit of its ancestor, which counts the
    # whole subtree. So only nodes that set a value are checked.
    for path, node in nodes:
        limits = (node.tokens_per_second, node.max_running_count)
        if (*limits, node.max_waiting_count) == (None, None, None):
            continue
        yield LimitedNode(
            path=path,
            tokens_per_second=node.tokens_per_second,
            burst_tokens=node.burst_tokens or 0.0,
            plain_tokens=1.0 if node.plain_tokens is None else node.plain_tokens,
            counts_requests=node.counts_requests,
            max_running_count=node.max_running_count,
            max_waiting_count=node.max_waiting_count,
        )


def validate_tree(tree: Tree) -> None:
    """Raise a TreeError that lists what keeps the tree from coming into force."""
    _raise_problems(_problems(tree))


def validate_written_tree(tree: Tree) -> None:
    """Raise a TreeError that lists all problems of a tree that operators write."""
    _raise_problems([*_problems(tree), *_written_problems(tree)])


def _raise_problems(problems: Iterable[str]) -> None:
    found = dict.fromkeys(problems)
    if found:
        raise TreeError("; ".join(found), step=STEP)


def _written_problems(tree: Tree) -> Iterator[str]:
    if len(tree.nodes) > MAX_WRITTEN_NODES:
        yield f"{len(tree.nodes)} nodes exceed the maximum of {MAX_WRITTEN_NODES}"
    for path, node in tree.nodes.items():
        parts = path.split("/")[1:] if path != ROOT else []
        if not all(_WRITTEN_COMPONENT.match(part) for part in parts):
            yield f"{path!r}: not a path like /group/workspace"
        if node.key_hashes and not node.is_workspace:
            yield f"{path}: has keys but is_workspace is false"


def _problems(tree: Tree) -> Iterator[str]:
    if ROOT not in tree.nodes:
        yield "the root / is missing"
    if len(tree.nodes) > MAX_NODES:
        yield f"{len(tree.nodes)} nodes exceed the maximum of {MAX_NODES}"
    owners: dict[str, str] = {}
    for path, node in tree.nodes.items():
        yield from _path_problems(tree, path)
        for key_hash in node.key_hashes:
            if not _KEY_HASH.match(key_hash):
                yield f"{path}: key_hashes holds {key_hash!r}, not a SHA-256 in hex"
            if owners.setdefault(key_hash, path) != path:
                yield f"{path}: shares a key with {owners[key_hash]}"
    yield from routing_problems(tree.routing)


def _path_problems(tree: Tree, path: str) -> Iterator[str]:
    if path == ROOT:
        return
    parts = path.split("/")[1:]
    if not path.startswith("/") or not all(_COMPONENT.match(part) for part in parts):
        yield f"{path!r}: not a path like /group/workspace"
        return
    if len(parts) > MAX_DEPTH:
        yield f"{path}: deeper than {MAX_DEPTH} levels"
    if parent_of(path) not in tree.nodes:
        yield f"{path}: its parent {parent_of(path)} is missing"


def apply_change(tree: Tree, change: Change) -> Tree:
    """Return the tree after a change, which must be the next revision."""
    if change.revision != tree.revision + 1:
        message = f"change has revision {change.revision}, tree has {tree.revision}"
        raise ConflictError(message, step="apply change")
    nodes = dict(tree.nodes)
    for edit in change.edits:
        if edit.node is None:
            nodes.pop(edit.path, None)
        else:
            nodes[edit.path] = edit.node
    return attrs.evolve(tree, revision=change.revision, nodes=nodes)


def moved(tree: Tree, source: str, target: str) -> list[NodeEdit]:
    """Return the edits that move a subtree with its keys and values."""
    if source not in tree.nodes:
        raise TreeError(f"{source}: no such node", step="move node")
    if target in tree.nodes:
        raise TreeError(f"{target}: already exists", step="move node")
    if target == source or target.startswith(source + "/"):
        raise TreeError(f"{target}: is within {source}", step="move node")
    subtree = [path for path in tree.nodes if _is_within(path, source)]
    removed = [NodeEdit(path=path, node=None) for path in subtree]
    added = [
        NodeEdit(path=target + path[len(source) :], node=tree.nodes[path])
        for path in subtree
    ]
    return removed + added


def deleted(tree: Tree, path: str) -> list[NodeEdit]:
    """Return the edits that delete a subtree."""
    if path == ROOT:
        raise TreeError("the root can't be deleted", step="delete node")
    if path not in tree.nodes:
        raise TreeError(f"{path}: no such node", step="delete node")
    subtree = (item for item in tree.nodes if _is_within(item, path))
    return [NodeEdit(path=item, node=None) for item in subtree]


def _is_within(path: str, ancestor: str) -> bool:
    return path == ancestor or path.startswith(ancestor + "/")


def touched_paths(changes: Iterable[Change]) -> set[str]:
    """Return the paths that the changes replace or delete."""
    return {edit.path for change in changes for edit in change.edits}
