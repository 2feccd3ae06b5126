"""Commands that read and edit the tree; concurrent edits are reported as conflicts."""

import argparse
import getpass
import hashlib
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any

from rampwick_platform import TreeStore
from rampwick_policy import TreeError, TreeVersion, deleted, moved
from rampwick_schema import Change, Node, NodeEdit, Tree, unstructure

from . import _exit_codes
from ._node_values import update_node
from ._output import Output
from ._platform import open_platform
from ._wait import wait_in_force

EditsFactory = Callable[[Tree], Sequence[NodeEdit]]


async def run_tree(arguments: argparse.Namespace, output: Output) -> int:
    """Run a tree subcommand; return the exit code."""
    async with open_platform(arguments) as api:
        store = TreeStore(api)
        command = COMMANDS[arguments.tree_command]
        return await command(store, arguments, output)


async def _show(store: TreeStore, arguments: argparse.Namespace, output: Output) -> int:
    tree = (await store.load()).tree
    rows = [
        {"path": path, **_node_row(node)}
        for path, node in sorted(tree.nodes.items())
        if path.startswith(arguments.path)
    ]
    output.print_text(f"revision {tree.revision}")
    output.show("tree", rows)
    return _exit_codes.OK


async def _get(store: TreeStore, arguments: argparse.Namespace, output: Output) -> int:
    tree = (await store.load()).tree
    node = _find(tree, arguments.path)
    output.show_object(
        {"path": arguments.path, "revision": tree.revision, **unstructure(node)}
    )
    return _exit_codes.OK


async def _set(store: TreeStore, arguments: argparse.Namespace, output: Output) -> int:
    def edits(tree: Tree) -> list[NodeEdit]:
        node = _find(tree, arguments.path)
        changed = update_node(node, arguments.values, arguments.unset)
        return [NodeEdit(arguments.path, changed)]

    return await _write(store, edits, arguments, output)


async def _create(
    store: TreeStore, arguments: argparse.Namespace, output: Output
) -> int:
    key = secrets.token_urlsafe(24) if arguments.new_key else ""

    def edits(tree: Tree) -> list[NodeEdit]:
        if arguments.path in tree.nodes:
            raise TreeError(f"{arguments.path}: exists already", step="create node")
        hashes = [hashlib.sha256(key.encode()).hexdigest()] if key else []
        node = Node(is_workspace=arguments.workspace or bool(key), key_hashes=hashes)
        return [NodeEdit(arguments.path, update_node(node, arguments.values, []))]

    code = await _write(store, edits, arguments, output)
    if key and code in (_exit_codes.OK, _exit_codes.NOT_EVERYWHERE):
        output.show_object({"bearer_key": key})
        output.print_text("The key is shown only once; the tree stores only its hash.")
    return code


async def _move(store: TreeStore, arguments: argparse.Namespace, output: Output) -> int:
    def edits(tree: Tree) -> list[NodeEdit]:
        return moved(tree, arguments.path, arguments.target)

    return await _write(store, edits, arguments, output)


async def _delete(
    store: TreeStore, arguments: argparse.Namespace, output: Output
) -> int:
    def edits(tree: Tree) -> list[NodeEdit]:
        return deleted(tree, arguments.path)

    return await _write(store, edits, arguments, output)


async def _history(
    store: TreeStore, arguments: argparse.Namespace, output: Output
) -> int:
    changes = await store.history(arguments.after)
    output.show("history", [_change_row(change) for change in changes])
    return _exit_codes.OK


async def _diff(store: TreeStore, arguments: argparse.Namespace, output: Output) -> int:
    rows = []
    for change in await store.history(arguments.after):
        if arguments.until and change.revision > arguments.until:
            break
        for edit in change.edits:
            values = unstructure(edit.node) if edit.node else "deleted"
            rows.append(
                {"revision": change.revision, "path": edit.path, "values": values}
            )
    output.show("diff", rows)
    return _exit_codes.OK


async def _write(
    store: TreeStore, edits: EditsFactory, arguments: argparse.Namespace, output: Output
) -> int:
    change = await store.propose(
        edits,
        author=arguments.author or getpass.getuser(),
        base_revision=arguments.base,
        now_seconds=time.time(),
    )
    output.show_object({"revision": change.revision, "state": "accepted"})
    if not arguments.wait:
        return _exit_codes.OK
    version = TreeVersion(change.revision, store.era)
    return await wait_in_force(version, arguments, output)


def _find(tree: Tree, path: str) -> Node:
    if path not in tree.nodes:
        raise TreeError(f"{path}: no such node", step="find node")
    return tree.nodes[path]


def _node_row(node: Node) -> dict[str, Any]:
    return {
        "workspace": "yes" if node.is_workspace else "",
        "weight": node.weight,
        "class": node.priority_class,
        "tokens_per_second": node.tokens_per_second,
        "max_running": node.max_running_count,
        "max_waiting": node.max_waiting_count,
        "deadline_seconds": node.deadline_seconds,
        "models": node.models,
        "keys": len(node.key_hashes),
    }


def _change_row(change: Change) -> dict[str, Any]:
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.made_at_seconds))
    return {
        "revision": change.revision,
        "made_at_utc": when,
        "author": change.author,
        "paths": [edit.path for edit in change.edits],
    }


COMMANDS = {
    "show": _show,
    "get": _get,
    "set": _set,
    "create": _create,
    "move": _move,
    "delete": _delete,
    "history": _history,
    "diff": _diff,
}
