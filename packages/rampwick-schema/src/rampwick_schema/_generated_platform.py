"""Records on the platform, besides the tree.

Generated from schema/platform.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._shown import Shown
from ._validators import one_of, within


@attrs.frozen(repr=False)
class HostEntry(Shown):
    """One entry of the platform's lagging host list."""

    #: Name of the host.
    name: str
    #: What runs there.
    kind: str = attrs.field(validator=one_of(["entry", "runner", "service", "kvstore"]))
    #: Hall that it stands in.
    hall: str
    #: IP and port of its interface.
    address: str
    #: Whether it may be given work.
    state: str = attrs.field(default="live", validator=one_of(["live", "leaving"]))
    #: Service that it belongs to; runners without routes leave it empty.
    group: str = attrs.field(default="")
    #: Life of the upstream where the list tells it; empty where it has to be asked.
    incarnation: str = attrs.field(default="")
    #: Model of a runner where the list tells it.
    model: str = attrs.field(default="")
    #: Loaded weights where the list tells them; the list lags.
    weights_version: int = attrs.field(default=0, validator=within(0, None))
    #: Requests that it works on at once where the list tells them.
    slots_count: int = attrs.field(default=0, validator=within(0, None))
    #: Whether it refuses orders with an old fencing number.
    checks_fencing: bool = attrs.field(default=False)


@attrs.frozen(repr=False)
class HostList(Shown):
    """The host list at one version."""

    #: Version of the list.
    version: int = attrs.field(validator=within(0, None))
    #: Every known host.
    hosts: list[HostEntry]


@attrs.frozen(repr=False)
class Claim(Shown):
    """One idempotency key that has been claimed."""

    #: Hash of workspace and key, in hex.
    key_hash: str
    #: Id of the arrival that owns the key.
    write_id: str
    #: Seconds since 1970 after which the key is free again.
    expires_at_seconds: float


@attrs.frozen(repr=False)
class ClaimShard(Shown):
    """All live claims of one shard."""

    #: Live claims.
    claims: list[Claim]


@attrs.frozen(repr=False)
class HostRecord(Shown):
    """Where a host's peers find it; each host keeps its own."""

    #: Name of the host.
    host: str
    #: Hall that it stands in.
    hall: str
    #: IP and port of its streams between hosts.
    peer_address: str
    #: Random id of the host's last write.
    write_id: str
    #: Speed of its link.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.0, None)
    )


@attrs.frozen(repr=False)
class LeaseRecord(Shown):
    """Who holds a lease; the object's version is the fencing number."""

    #: Host that holds it.
    holder: str
    #: Random id of the holder's last write.
    write_id: str
    #: Length of the lease from the write on; 0 once its holder has given it up.
    duration_seconds: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class WeightsTarget(Shown):
    """What operators want runners to have loaded."""

    #: Model.
    model: str
    #: Version of its weights.
    weights_version: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class WeightsTargets(Shown):
    """All targets, as one object."""

    #: Random id by which a writer knows its own write again.
    write_id: str
    #: One target for each model.
    targets: list[WeightsTarget]
