"""The fallback file: a tree and upstreams for a start that hears nobody.

It is written as TOML: ``[tree.nodes."/path"]`` tables and ``[[hosts]]`` entries. Both
count as older than anything that the platform or a peer says.
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

#: Revision and version below any real one, above none at all.
FALLBACK_REVISION = 0


@attrs.frozen(repr=False)
class FallbackFile(ReprMixin):
    """The file as written."""

    nodes: dict[str, Node]
    hosts: list[HostEntry] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class Fallback(ReprMixin):
    """What is in force until something newer is heard."""

    tree: Tree
    hosts: HostList


def read_fallback(path: Path) -> Fallback:
    """Return the checked fallback of a file, or raise an error of one line."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from None
    file = structure(data, FallbackFile, step=STEP, peer=str(path))
    tree = Tree(revision=FALLBACK_REVISION, nodes={"/": Node(), **file.nodes})
    TreeView(tree)
    return Fallback(tree, HostList(version=FALLBACK_REVISION, hosts=file.hosts))
