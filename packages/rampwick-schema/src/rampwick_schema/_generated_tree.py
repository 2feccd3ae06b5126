"""The tree of workspaces and the records of its changes in the platform's store.

Generated from schema/tree.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._generated_routing import Routing
from ._repr_mixin import ReprMixin
from ._validators import one_of, within


@attrs.frozen(repr=False)
class Node(ReprMixin):
    """Values at one node of the tree; absent values are inherited."""

    #: Share among siblings; not inherited, 1 if absent.
    weight: float | None = attrs.field(default=None, validator=within(0.001, 1000000.0))
    #: Fleet-wide limit on tokens, as declared by callers; the limits of all nodes on the path apply.
    tokens_per_second: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Burst size of the limit.
    burst_tokens: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Tokens that count towards the limit for a request that declares none; 1 if absent.
    plain_tokens: float | None = attrs.field(
        default=None, validator=within(0.0, 1000000000.0)
    )
    #: Whether the limit counts each request as one token.
    counts_requests: bool = attrs.field(default=False)
    #: Maximum number of running requests on one host.
    max_running_count: int | None = attrs.field(
        default=None, validator=within(0, 1000000)
    )
    #: Maximum number of queued requests on one host.
    max_waiting_count: int | None = attrs.field(
        default=None, validator=within(0, 1000000)
    )
    #: Deadline of requests without one.
    deadline_seconds: float | None = attrs.field(
        default=None, validator=within(0.1, 3600.0)
    )
    #: Priority class of requests without one.
    priority_class: str | None = attrs.field(
        default=None, validator=one_of(["portal", "interactive", "batch"])
    )
    #: Weight of a recomputed token in placement.
    miss_price: float | None = attrs.field(default=None, validator=within(0.0, 100.0))
    #: Models that callers may use; all if absent on the whole path.
    models: list[str] | None = attrs.field(default=None)
    #: SHA-256 in hex of the bearer keys of this workspace; not inherited.
    key_hashes: list[str] = attrs.field(factory=list)
    #: Whether callers can authenticate as this node.
    is_workspace: bool = attrs.field(default=False)
    #: Whether its cached prompts are isolated from workspaces with which it would share them otherwise; not inherited.
    is_isolated: bool = attrs.field(default=False)
    #: Priority of its requests on routes, compared before the route's own; not inherited.
    priority_rank: int | None = attrs.field(default=None, validator=within(0, 9))


@attrs.frozen(repr=False)
class Tree(ReprMixin):
    """The complete tree at one revision; paths look like /herbaria/labels."""

    #: Number of changes accepted so far.
    revision: int = attrs.field(validator=within(0, None))
    #: Nodes by path; the root is /.
    nodes: dict[str, Node]
    #: Routes to services; empty if callers use only rampwick's own paths.
    routing: Routing = attrs.field(factory=Routing)
    #: Era of the store in which the revision was written; absent if unknown.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class NodeEdit(ReprMixin):
    """New state of one node; an absent node is a deletion."""

    #: Path of the node.
    path: str
    #: New values; absent to delete the node.
    node: Node | None = attrs.field(default=None)


@attrs.frozen(repr=False)
class Change(ReprMixin):
    """An accepted change, stored in the object of its revision."""

    #: Revision after the change.
    revision: int = attrs.field(validator=within(1, None))
    #: Random id by which a writer recognizes its own write.
    write_id: str
    #: Author of the change.
    author: str
    #: Unix time by the writer's clock; informational, not used for ordering.
    made_at_seconds: float
    #: Nodes that the change replaces or deletes.
    edits: list[NodeEdit]
