"""Fair shares down the tree by decayed use.

A workspace's use is the priced tokens that all hosts served for it, forgotten with a
time constant. Among the waiting workspaces the one with the least use for its weight
goes first, compared level by level from the top of the tree. With use u and weight w
kept level, service rates settle in proportion to the weights; a workspace that was
idle may catch up at most one time constant of its share. The counters follow the
virtual token counters of VTC (Sheng et al., OSDI 2024); decay replaces the lift of
returning workspaces, since hosts can't agree on a lift without a service.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import ReprMixin, WorkspaceUsage

from ._tree import Workspace, lineage

#: Use below this many tokens is forgotten.
NEGLIGIBLE_TOKENS = 0.5

#: What compares two workspaces: use over weight at each level from the top.
Standing = tuple[float, ...]


@attrs.define(repr=False)
class DecayedUse(ReprMixin):
    """Priced tokens by tree path, forgotten with a time constant."""

    decay_seconds: float
    at_seconds: float = 0.0
    _tokens: dict[str, float] = attrs.field(factory=dict)

    def add(self, path: str, tokens: float, now_seconds: float) -> None:
        """Add tokens at a path; negative ones give back an estimate."""
        self._advance(now_seconds)
        self._tokens[path] = max(0.0, self._tokens.get(path, 0.0) + tokens)

    def add_all(
        self, tokens: Mapping[str, float], sign: float, now_seconds: float
    ) -> None:
        """Add the tokens of many paths, or take them away with a negative sign."""
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
        """Return all paths with use that still counts."""
        self._advance(now_seconds)
        return self._tokens

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = now_seconds - self.at_seconds
        # Advancing rarely keeps the cost away from single requests.
        if elapsed_seconds < self.decay_seconds / 100:
            return
        factor = math.exp(-elapsed_seconds / self.decay_seconds)
        self._tokens = {
            path: tokens * factor
            for path, tokens in self._tokens.items()
            if tokens * factor > NEGLIGIBLE_TOKENS
        }
        self.at_seconds = now_seconds


class ShareLedger:
    """Use of the pool by workspace: this host's own and what its peers tell."""

    def __init__(self, decay_seconds: float) -> None:
        self.decay_seconds = decay_seconds
        self._own = DecayedUse(decay_seconds)
        self._own_by_workspace = DecayedUse(decay_seconds)
        self._by_peer: dict[str, DecayedUse] = {}
        # Sum over all peers, kept up to date so that a look-up costs no walk.
        self._peers = DecayedUse(decay_seconds)

    def charge(self, workspace: str, tokens: float, now_seconds: float) -> None:
        """Add priced tokens to a workspace and all its ancestors."""
        for path in lineage(workspace):
            self._own.add(path, tokens, now_seconds)
        self._own_by_workspace.add(workspace, tokens, now_seconds)

    def hear(
        self, peer: str, usages: Iterable[WorkspaceUsage], now_seconds: float
    ) -> None:
        """Replace what is known of a peer's use."""
        tokens: dict[str, float] = {}
        for usage in usages:
            for path in lineage(usage.workspace):
                tokens[path] = tokens.get(path, 0.0) + usage.used_tokens
        known = self._by_peer.get(peer)
        if known is not None:
            self._peers.add_all(known.snapshot(now_seconds), -1.0, now_seconds)
        self._peers.add_all(tokens, 1.0, now_seconds)
        self._by_peer[peer] = DecayedUse(self.decay_seconds, now_seconds, tokens)

    def own_use(self, now_seconds: float) -> Mapping[str, float]:
        """Return this host's use by workspace, to tell peers."""
        return self._own_by_workspace.snapshot(now_seconds)

    def used_tokens(self, path: str, now_seconds: float) -> float:
        """Return the decayed tokens at a path over all hosts heard of."""
        return self._own.get(path, now_seconds) + self._peers.get(path, now_seconds)

    def standing(self, workspace: Workspace, now_seconds: float) -> Standing:
        """Return the workspace's place in line; the least one goes first."""
        pairs = zip(workspace.lineage, workspace.weights, strict=True)
        return tuple(
            self.used_tokens(path, now_seconds) / weight for path, weight in pairs
        )
