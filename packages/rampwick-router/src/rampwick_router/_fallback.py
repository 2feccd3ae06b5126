"""The fallback file: a tree and a host list for a start without platform or peers.

It is written as TOML: ``[tree.nodes."/path"]`` tables and ``[[hosts]]`` entries. Both
are considered older than any version from the platform or a peer.
"""

import tomllib
from pathlib import Path

import attrs

from rampwick_policy import TreeView
from rampwick_schema import (
    HostEntry,
    HostList,
    Node,
    ReprMixin,
    SettingsError,
    Tree,
    structure,
)

STEP = "read fallback"

#: Lower than any real revision or version, and higher than the version -1 of a host
#: that has no host list yet.
FALLBACK_REVISION = 0


@attrs.frozen(repr=False)
class FallbackFile(ReprMixin):
    """The parsed content of the file."""

    nodes: dict[str, Node]
    hosts: list[HostEntry] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class Fallback(ReprMixin):
    """Tree and host list in force until newer ones are received."""

    tree: Tree
    hosts: HostList


def read_fallback(path: Path) -> Fallback:
    """Read and validate a fallback file, or raise an error with a one-line message."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from None
    file = structure(data, FallbackFile, step=STEP, peer=str(path))
    tree = Tree(revision=FALLBACK_REVISION, nodes={"/": Node(), **file.nodes})
    TreeView(tree)
    return Fallback(tree, HostList(version=FALLBACK_REVISION, hosts=file.hosts))
