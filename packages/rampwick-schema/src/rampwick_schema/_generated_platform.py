"""Records on the platform, besides the tree.

Generated from schema/platform.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._repr_mixin import ReprMixin
from ._validators import one_of, within


@attrs.frozen(repr=False)
class HostEntry(ReprMixin):
    """An entry of the platform's eventually consistent host list."""

    #: Name of the host.
    name: str
    #: Kind of the process.
    kind: str = attrs.field(validator=one_of(["entry", "runner", "service", "kvstore"]))
    #: Hall of the host.
    hall: str
    #: IP and port of the host.
    address: str
    #: live, or leaving for a host that gets no new requests.
    state: str = attrs.field(default="live", validator=one_of(["live", "leaving"]))
    #: Service of the upstream; empty for runners without routes.
    group: str = attrs.field(default="")
    #: Incarnation of the upstream; empty if the list has none and the upstream has to be queried.
    incarnation: str = attrs.field(default="")
    #: Model of a runner, if the list has it.
    model: str = attrs.field(default="")
    #: Loaded weights, if the list has them; may be outdated.
    weights_version: int = attrs.field(default=0, validator=within(0, None))
    #: Concurrent requests of the upstream, if the list has them.
    slots_count: int = attrs.field(default=0, validator=within(0, None))
    #: Whether the upstream rejects orders with an outdated fencing number.
    checks_fencing: bool = attrs.field(default=False)
    #: Version of the upstream's software, not of its weights; empty if the list does not state it.
    software_version: str = attrs.field(default="")
    #: Version of the last list with the entry, if the store lacks it since an outage and it may only have expired; 0 while the store has it.
    last_listed_version: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class HostList(ReprMixin):
    """The host list at one version."""

    #: Version of the list.
    version: int = attrs.field(validator=within(0, None))
    #: All known hosts.
    hosts: list[HostEntry]


@attrs.frozen(repr=False)
class Claim(ReprMixin):
    """A claimed idempotency key."""

    #: Hash of workspace and key, in hex.
    key_hash: str
    #: Id of the request that owns the key.
    write_id: str
    #: Unix time at which the claim expires.
    expires_at_seconds: float


@attrs.frozen(repr=False)
class ClaimShard(ReprMixin):
    """Unexpired claims of one shard."""

    #: Unexpired claims.
    claims: list[Claim]


@attrs.frozen(repr=False)
class HostRecord(ReprMixin):
    """Peer address of a host; each host writes its own record."""

    #: Name of the host.
    host: str
    #: Hall of the host.
    hall: str
    #: IP and port of its peer interface.
    peer_address: str
    #: Random id of the host's last write.
    write_id: str
    #: Link speed of the host.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.0, None)
    )


@attrs.frozen(repr=False)
class LeaseRecord(ReprMixin):
    """Holder of a lease; the object's version is the fencing number."""

    #: Host that holds the lease; empty after a release.
    holder: str
    #: Random id of the holder's last write.
    write_id: str
    #: Duration of the lease from the write on; after a release, the time until another host may acquire it.
    duration_seconds: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class WeightsTarget(ReprMixin):
    """The weights that runners of a model are to load."""

    #: Model.
    model: str
    #: Version of the weights.
    weights_version: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class WeightsTargets(ReprMixin):
    """All weights targets in one object."""

    #: Random id by which a writer recognizes its own write.
    write_id: str
    #: One target for each model.
    targets: list[WeightsTarget]


@attrs.frozen(repr=False)
class StoredStreamGroup(ReprMixin):
    """Requests that began a stream at one software version."""

    #: Service of the streams.
    service: str
    #: Software version of the upstreams; empty if it is not known.
    software_version: str
    #: Time for which their callers may take them up, as of writing.
    lifetime_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: The records as in updates between hosts, in base64.
    records: str


@attrs.frozen(repr=False)
class StreamSegment(ReprMixin):
    """A part of the streams that the hosts of a group began, while their services had several software versions."""

    #: Random id of the last write.
    write_id: str
    #: The streams.
    groups: list[StoredStreamGroup]


@attrs.frozen(repr=False)
class StoredVersion(ReprMixin):
    """A software version that upstreams of a service have or had."""

    #: Name of the service.
    service: str
    #: Version of the software.
    software_version: str
    #: Time since an upstream of this version was last listed, as of writing.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class StoredHistory(ReprMixin):
    """The software versions of all services up to one version of the store."""

    #: Random id of the last write.
    write_id: str
    #: Version of the store up to which changes of the upstreams' entries are included.
    store_version: int = attrs.field(validator=within(0, 9223372036854775807))
    #: Time for which the writer knew all versions that were listed.
    known_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: All versions that were listed in that time.
    versions: list[StoredVersion]
