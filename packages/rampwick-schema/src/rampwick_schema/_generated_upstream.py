"""Load reports of upstreams and orders to them.

Generated from schema/upstream.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._repr_mixin import ReprMixin
from ._validators import within


@attrs.frozen(repr=False)
class LoadReport(ReprMixin):
    """Load as reported by a runner; may be outdated."""

    #: Incarnation of the engine.
    incarnation: str
    #: Served model.
    model: str
    #: Version of the loaded weights.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Maximum batch size in requests.
    slots_count: int = attrs.field(validator=within(1, None))
    #: Requests in the batch.
    running_count: int = attrs.field(validator=within(0, None))
    #: Prompt tokens not yet computed.
    waiting_tokens: int = attrs.field(validator=within(0, None))
    #: Prefill speed; 0 if unknown to the runner.
    prefill_tokens_per_second: float = attrs.field(validator=within(0.0, None))
    #: Capacity of the prefix cache.
    cache_tokens: int = attrs.field(validator=within(0, None))
    #: serve, or loading while the runner loads weights.
    role: str = attrs.field(default="serve")
    #: Highest fencing number received.
    fencing_number: int = attrs.field(default=0, validator=within(0, None))
    #: Orders that this incarnation has accepted.
    orders_count: int = attrs.field(default=0, validator=within(0, None))
    #: Whether the response named its incarnation; otherwise the listed one is assumed.
    is_identified: bool = attrs.field(default=True)


@attrs.frozen(repr=False)
class Order(ReprMixin):
    """Target state of a runner; idempotent."""

    #: Version of the lease under which the order is sent.
    fencing_number: int = attrs.field(validator=within(0, None))
    #: Weights to load.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Target role of the runner.
    role: str = attrs.field(default="serve")
    #: Number of accepted orders at which the runner applies this one; absent for any number.
    expected_orders_count: int | None = attrs.field(
        default=None, validator=within(0, None)
    )
