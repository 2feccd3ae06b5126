"""The tree of workspaces and the records of its changes on the platform.

Generated from schema/tree.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._generated_routing import Routing
from ._shown import Shown
from ._validators import one_of, within


@attrs.frozen(repr=False)
class Node(Shown):
    """Values set at one node of the tree; an absent value is inherited."""

    #: Share among siblings; not inherited, 1 where absent.
    weight: float | None = attrs.field(default=None, validator=within(0.001, 1000000.0))
    #: Limit on tokens, as callers name them, over the fleet; each node on the path holds.
    tokens_per_second: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Tokens that may be used ahead of the limit.
    burst_tokens: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Tokens that a request counts towards the limit which names none; 1 where absent.
    plain_tokens: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Whether the limit counts each request as one token.
    counts_requests: bool = attrs.field(default=False)
    #: Requests running at once on one host.
    max_running_count: int | None = attrs.field(
        default=None, validator=within(0, 1000000)
    )
    #: Requests waiting at once on one host.
    max_waiting_count: int | None = attrs.field(
        default=None, validator=within(0, 1000000)
    )
    #: Deadline of requests that name none.
    deadline_seconds: float | None = attrs.field(
        default=None, validator=within(0.1, 3600.0)
    )
    #: Class of requests that name none.
    priority_class: str | None = attrs.field(
        default=None, validator=one_of(["portal", "interactive", "batch"])
    )
    #: Placement's weight of a recomputed token.
    miss_price: float | None = attrs.field(default=None, validator=within(0.0, 100.0))
    #: Models that callers may use; absent everywhere means all.
    models: list[str] | None = attrs.field(default=None)
    #: SHA-256 in hex of the bearer keys that act as this workspace; not inherited.
    key_hashes: list[str] = attrs.field(factory=list)
    #: Whether callers can act as this node.
    is_workspace: bool = attrs.field(default=False)
    #: Whether its cached prompts are kept from workspaces that it would share them with; not inherited.
    is_isolated: bool = attrs.field(default=False)
    #: Rank of its requests on routes, before the route's own; not inherited.
    priority_rank: int | None = attrs.field(default=None, validator=within(0, 9))


@attrs.frozen(repr=False)
class Tree(Shown):
    """The whole tree at one revision; paths look like /herbaria/labels."""

    #: Number of changes accepted so far.
    revision: int = attrs.field(validator=within(0, None))
    #: Nodes by path; the root is /.
    nodes: dict[str, Node]
    #: Routes to services; empty where callers only use rampwick's own paths.
    routing: Routing = attrs.field(factory=Routing)
    #: Era of the store in which the revision was written; absent where that isn't known.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class NodeEdit(Shown):
    """One node's new state; an absent node is a deletion."""

    #: Path of the node.
    path: str
    #: New values, or none to delete.
    node: Node | None = attrs.field(default=None)


@attrs.frozen(repr=False)
class Change(Shown):
    """One accepted change: the object that bears its revision."""

    #: Revision that the change makes.
    revision: int = attrs.field(validator=within(1, None))
    #: Random id by which a writer knows its own write again.
    write_id: str
    #: Who made the change.
    author: str
    #: Writer's clock in seconds since 1970; for people, not for ordering.
    made_at_seconds: float
    #: Nodes that the change replaces.
    edits: list[NodeEdit]
