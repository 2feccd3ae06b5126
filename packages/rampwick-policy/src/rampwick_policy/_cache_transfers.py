"""Cache transfers in progress, which later transfers over the same links wait for.

Guards against queues at a link when many prompts import parts of one cache at once, as
after a restart of all hosts or a load of new weights. A cache transfers one prompt
after another, and a prompt of a few hundred tokens waited 0.7 s for an import that its
runner computes in 15 ms. Hosts publish their transfers together with their other load,
as load of the cache under a generation label of its own.
"""

from collections import Counter

import attrs

from rampwick_schema import ReprMixin, UpstreamUsage

from ._membership import Membership

#: Generation label under which hosts publish the transfers from and to a cache.
TRANSFERS_LABEL = "moves"


@attrs.frozen(repr=False)
class CacheTransfer(ReprMixin):
    """One requested import."""

    source: str
    target: str
    tokens: int


class CacheTransfers:
    """Imports that this host requested and whose answers have not started."""

    def __init__(self, peers: Membership) -> None:
        self._peers = peers
        self._open: dict[str, CacheTransfer] = {}
        self._tokens: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()

    def begin(self, attempt_id: str, transfer: CacheTransfer) -> None:
        """Record an import that an attempt requests."""
        self._open[attempt_id] = transfer
        for name in (transfer.source, transfer.target):
            self._tokens[name] += transfer.tokens
            self._counts[name] += 1

    def end(self, attempt_id: str) -> None:
        """Record that an attempt's import is complete or the attempt has ended."""
        transfer = self._open.pop(attempt_id, None)
        if transfer is None:
            return
        for name in (transfer.source, transfer.target):
            self._tokens[name] -= transfer.tokens
            self._counts[name] -= 1
            if not self._counts[name]:
                # Entries of removed runners would otherwise accumulate.
                del self._counts[name], self._tokens[name]

    def waiting_tokens(self, name: str) -> int:
        """Return the tokens in transfer from or to a cache, for all hosts."""
        return (
            self._tokens[name]
            + self._peers.load_of(name, TRANSFERS_LABEL).waiting_tokens
        )

    def usages(self) -> list[UpstreamUsage]:
        """Return the transfers to publish to peers."""
        return [
            UpstreamUsage(name, TRANSFERS_LABEL, count, self._tokens[name])
            for name, count in sorted(self._counts.items())
        ]
