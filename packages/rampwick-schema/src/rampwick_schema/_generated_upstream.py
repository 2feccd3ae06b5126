"""What upstreams report and are told.

Generated from schema/upstream.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._shown import Shown
from ._validators import within


@attrs.frozen(repr=False)
class LoadReport(Shown):
    """A runner's own view of its load; it lags."""

    #: Id of this life of the engine.
    incarnation: str
    #: Model that is served.
    model: str
    #: Version of the loaded weights.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Requests that it batches at once.
    slots_count: int = attrs.field(validator=within(1, None))
    #: Requests in the batch.
    running_count: int = attrs.field(validator=within(0, None))
    #: Prompt tokens not yet computed.
    waiting_tokens: int = attrs.field(validator=within(0, None))
    #: Prefill speed; 0 if the runner does not know it.
    prefill_tokens_per_second: float = attrs.field(validator=within(0.0, None))
    #: Size of the prefix cache.
    cache_tokens: int = attrs.field(validator=within(0, None))
    #: serve, or loading while weights are loaded.
    role: str = attrs.field(default="serve")
    #: Highest fencing number seen.
    fencing_number: int = attrs.field(default=0, validator=within(0, None))
    #: Orders that this life has taken.
    orders_count: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class Order(Shown):
    """A target state for a runner; sending it twice changes nothing."""

    #: Version of the lease under which it is sent.
    fencing_number: int = attrs.field(validator=within(0, None))
    #: Weights that shall be loaded.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Role that the runner shall take.
    role: str = attrs.field(default="serve")
    #: Orders that the runner must have taken for this one to count; none for any number.
    expected_orders_count: int | None = attrs.field(
        default=None, validator=within(0, None)
    )
