"""A validated request on a route, with terms derived from route and workspace."""

import attrs

from rampwick_policy import (
    AnswerKind,
    DrainRequest,
    PrefixChain,
    RequestIdentity,
    Scope,
    Workspace,
    chain_from_parts,
    part_key,
)
from rampwick_schema import ReprMixin, Route, Service

from .._dialects import RoutedCall


@attrs.frozen(repr=False)
class RoutedRequest(ReprMixin):
    """A validated request on a route."""

    call: RoutedCall
    route: Route
    service: Service
    workspace: Workspace
    body: bytes
    arrived_at_seconds: float

    @property
    def priority_rank(self) -> int:
        """Priority rank; the workspace's rank takes precedence over the route's."""
        rank = self.workspace.priority_rank
        return self.route.priority_rank if rank is None else rank

    @property
    def deadline_seconds(self) -> float:
        """Monotonic time at which the caller's or the route's timeout ends."""
        seconds = self.route.timeout_seconds
        if self.call.timeout_seconds is not None:
            seconds = min(seconds, self.call.timeout_seconds)
        return self.arrived_at_seconds + seconds

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run again after an attempt that may have run."""
        if self.route.is_stream:
            return self.route.is_resumable
        return self.route.is_repeatable

    @property
    def drain_request(self) -> DrainRequest:
        """What decides whether a host that shuts down takes the request."""
        return DrainRequest(
            kind=AnswerKind(self.service.name, self.call.model, self.route.is_stream),
            latency_target_seconds=self.route.latency_target_seconds,
            max_answer_tokens=self.call.max_answer_tokens,
            expected_answer_tokens=self.call.expected_answer_tokens,
            is_repeatable=self.is_repeatable,
            deadline_seconds=self.deadline_seconds,
        )

    @property
    def identity(self) -> RequestIdentity:
        """Identity shared with the caller's retries of the same request."""
        target = self.call.host + self.call.target
        return RequestIdentity(
            self.workspace.path, target, self.body, self._read_part_keys
        )

    def _read_part_keys(self) -> list[bytes]:
        scope = self.scope
        if scope is None:
            return []
        return [part_key(scope, part.name) for part in self.call.parts[:-1]]

    @property
    def scope(self) -> Scope | None:
        """Scope of its cache entries; None for plain services."""
        if not self.call.parts:
            return None
        return Scope(self.workspace.cache_domain, self.call.model)

    @property
    def chain(self) -> PrefixChain | None:
        """Prefix chain of its prompt; None for plain services."""
        scope = self.scope
        return chain_from_parts(scope, self.call.parts) if scope else None
