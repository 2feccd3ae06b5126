"""Hierarchical fair queueing by decayed usage.

A workspace's usage is the number of priced tokens that all hosts served for it, with
exponential decay. Among the waiting workspaces the one with the lowest usage per weight
is served first, compared level by level from the root of the tree. Keeping usage per
weight equal makes service rates converge to the proportions of the weights. A workspace
that was idle may catch up by at most one time constant of its share. The counters
follow the virtual token counters of VTC (Sheng et al., OSDI 2024); decay replaces the
lift of returning workspaces, because hosts can't agree on a lift without a coordinator.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import ReprMixin, WorkspaceUsage

from ._tree import Workspace, lineage

#: Usage below this number of tokens is dropped.
NEGLIGIBLE_TOKENS = 0.5

#: Order of workspaces in fair queueing: usage per weight at each level from the root.
FairnessKey = tuple[float, ...]


@attrs.define(repr=False)
class DecayedUsage(ReprMixin):
    """Priced tokens by tree path, decaying exponentially."""

    decay_seconds: float
    at_seconds: float = 0.0
    _tokens: dict[str, float] = attrs.field(factory=dict)

    def add(self, path: str, tokens: float, now_seconds: float) -> None:
        """Add tokens at a path; a negative number corrects an estimate."""
        self._advance(now_seconds)
        self._tokens[path] = max(0.0, self._tokens.get(path, 0.0) + tokens)

    def add_all(
        self, tokens: Mapping[str, float], sign: float, now_seconds: float
    ) -> None:
        """Add the tokens of several paths, or subtract them with a negative sign."""
        self._advance(now_seconds)
        own = self._tokens
        for path, count in tokens.items():
            own[path] = max(0.0, own.get(path, 0.0) + sign * count)

    def get(self, path: str, now_seconds: float) -> float:
        """Return the decayed tokens at a path."""
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        return self._tokens.get(path, 0.0) * math.exp(
            -elapsed_seconds / self.decay_seconds
        )

    def snapshot(self, now_seconds: float) -> Mapping[str, float]:
        """Return the tokens of all paths with usage that is not negligible."""
        self._advance(now_seconds)
        return self._tokens

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = now_seconds - self.at_seconds
        # Decay is applied rarely, so that its cost is not paid by each request.
        if elapsed_seconds < self.decay_seconds / 100:
            return
        factor = math.exp(-elapsed_seconds / self.decay_seconds)
        self._tokens = {
            path: tokens * factor
            for path, tokens in self._tokens.items()
            if tokens * factor > NEGLIGIBLE_TOKENS
        }
        self.at_seconds = now_seconds


class UsageLedger:
    """Usage of the pool by workspace: this host's own and that reported by peers."""

    def __init__(self, decay_seconds: float) -> None:
        self.decay_seconds = decay_seconds
        self._own = DecayedUsage(decay_seconds)
        self._own_by_workspace = DecayedUsage(decay_seconds)
        self._by_peer: dict[str, DecayedUsage] = {}
        # Sum over all peers, updated with each report, so that a lookup is cheap.
        self._peers = DecayedUsage(decay_seconds)

    def charge(self, workspace: str, tokens: float, now_seconds: float) -> None:
        """Add priced tokens to a workspace and all its ancestors."""
        for path in lineage(workspace):
            self._own.add(path, tokens, now_seconds)
        self._own_by_workspace.add(workspace, tokens, now_seconds)

    def replace_peer_usage(
        self, peer: str, usages: Iterable[WorkspaceUsage], now_seconds: float
    ) -> None:
        """Replace a peer's reported usage."""
        tokens: dict[str, float] = {}
        for usage in usages:
            for path in lineage(usage.workspace):
                tokens[path] = tokens.get(path, 0.0) + usage.used_tokens
        previous = self._by_peer.get(peer)
        if previous is not None:
            self._peers.add_all(previous.snapshot(now_seconds), -1.0, now_seconds)
        self._peers.add_all(tokens, 1.0, now_seconds)
        self._by_peer[peer] = DecayedUsage(self.decay_seconds, now_seconds, tokens)

    def own_usage(self, now_seconds: float) -> Mapping[str, float]:
        """Return this host's usage by workspace, for its summaries."""
        return self._own_by_workspace.snapshot(now_seconds)

    def used_tokens(self, path: str, now_seconds: float) -> float:
        """Return the decayed tokens at a path over all known hosts."""
        return self._own.get(path, now_seconds) + self._peers.get(path, now_seconds)

    def fairness_key(self, workspace: Workspace, now_seconds: float) -> FairnessKey:
        """Return the workspace's fairness key; the lowest one is served first."""
        pairs = zip(workspace.lineage, workspace.weights, strict=True)
        return tuple(
            self.used_tokens(path, now_seconds) / weight for path, weight in pairs
        )
