"""A checked request on a route, and what follows from route, workspace and call."""

import attrs

from rampwick_policy import (
    PrefixChain,
    RequestIdentity,
    Scope,
    Workspace,
    chain_from_parts,
)
from rampwick_schema import ReprMixin, Route, Service

from .._dialects import RoutedCall


@attrs.frozen(repr=False)
class RoutedRequest(ReprMixin):
    """A checked request on a route."""

    call: RoutedCall
    route: Route
    service: Service
    workspace: Workspace
    body: bytes
    arrived_at_seconds: float

    @property
    def priority_rank(self) -> int:
        """Rank of the request: the workspace's own goes before the route's."""
        rank = self.workspace.priority_rank
        return self.route.priority_rank if rank is None else rank

    @property
    def deadline_seconds(self) -> float:
        """Steady time at which the caller or the route gives up."""
        seconds = self.route.timeout_seconds
        if self.call.timeout_seconds is not None:
            seconds = min(seconds, self.call.timeout_seconds)
        return self.arrived_at_seconds + seconds

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run again after a run that may have begun."""
        if self.route.is_stream:
            return self.route.is_resumable
        return self.route.is_repeatable

    @property
    def identity(self) -> RequestIdentity:
        """What it has in common with its caller's other tries."""
        target = self.call.host + self.call.target
        return RequestIdentity(self.workspace.path, target, self.body)

    @property
    def scope(self) -> Scope | None:
        """What its cached entries belong to; none for plain services."""
        if not self.call.parts:
            return None
        return Scope(self.workspace.cache_wall, self.call.model)

    @property
    def chain(self) -> PrefixChain | None:
        """The parts of its prompt; none for plain services."""
        scope = self.scope
        return chain_from_parts(scope, self.call.parts) if scope else None
