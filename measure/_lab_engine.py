"""Simulated engines of the load lab, and the caches of engines and KV store."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from rampwick_policy import Dispatch, PromptPart, Scope, part_key

from ._lab_script import Sample

if TYPE_CHECKING:
    from ._lab import Host, Lab

HALLS = ("a", "b", "c", "d")
SCOPE = Scope("wall", "m")

#: One-way latency between a host and an engine or another host.
HOP_SECONDS = 0.001
STEP_SECONDS = 0.006


class Cache:
    """LRU cache of prompt parts by key that records its changes."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self.tokens: OrderedDict[bytes, int] = OrderedDict()
        self._changed: dict[bytes, int] = {}
        self.link_free_seconds = 0.0

    def missing_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens from the first part that is not cached."""
        for index, part in enumerate(parts):
            if part_key(SCOPE, part.name) not in self.tokens:
                return sum(item.tokens for item in parts[index:])
        return 0

    def insert(self, parts: tuple[PromptPart, ...]) -> None:
        """Insert the parts of a prompt and evict the least recently used ones."""
        for part in reversed(parts):
            key = part_key(SCOPE, part.name)
            self.tokens[key] = self._changed[key] = part.tokens
            self.tokens.move_to_end(key)
        while sum(self.tokens.values()) > self._capacity_tokens:
            key, _ = self.tokens.popitem(last=False)
            self._changed[key] = 0

    def take_changes(self) -> dict[bytes, int]:
        """Return the changes since the last call."""
        changed, self._changed = self._changed, {}
        return changed


class Engine:
    """Simulated engine with serial prefill in order of arrival."""

    def __init__(self, lab: Lab, name: str, hall: str) -> None:
        self._lab = lab
        self.name = name
        self.hall = hall
        self.cache = Cache(lab.pattern.cache_tokens)
        self._free_seconds = 0.0
        self.prefilled_tokens = 0
        #: Arrival time of each attempt.
        self.arrival_times_seconds: list[float] = []

    @property
    def rate_per_second(self) -> float | None:
        """Limit in requests per second over all hosts; None if there is none."""
        pattern = self._lab.pattern
        if int(self.name[1:]) >= pattern.limited_count:
            return None
        if self._lab.clock.now_seconds < pattern.limited_from_seconds:
            return None
        return pattern.limited_per_second

    def receive(self, host: Host, dispatch: Dispatch, sample: Sample) -> None:
        """Receive an attempt: import cached parts if allowed, then prefill the rest."""
        now_seconds = self._lab.clock.now_seconds
        self.arrival_times_seconds.append(now_seconds)
        ready_seconds = now_seconds
        parts = sample.call.parts
        if dispatch.import_address:
            ready_seconds = self._import(parts[:-1], now_seconds)
        delay = ready_seconds - now_seconds
        self._lab.clock.after(delay, self._prefill, host, dispatch, sample)

    def _import(self, parts: tuple[PromptPart, ...], now_seconds: float) -> float:
        store = self._lab.store
        tokens = self.cache.missing_tokens(parts)
        if not tokens or store.missing_tokens(parts):
            return now_seconds + HOP_SECONDS
        pattern = self._lab.pattern
        seconds = tokens * 8.0 * pattern.token_bytes / pattern.link_bits_per_second
        seconds *= 1.0 if self.hall == HALLS[1] else 2.0
        start_seconds = max(now_seconds, store.link_free_seconds)
        store.link_free_seconds = start_seconds + seconds
        self.cache.insert(parts)
        return store.link_free_seconds + pattern.import_setup_seconds

    def _insert(self, dispatch: Dispatch, sample: Sample) -> int:
        """Insert a prompt into the cache; return its tokens to compute."""
        parts = sample.call.parts
        missing_tokens = self.cache.missing_tokens(parts)
        self.prefilled_tokens += missing_tokens
        self.cache.insert(parts)
        if dispatch.save_address:
            self._lab.store.insert(parts[:-1])
        return missing_tokens

    def _prefill(self, host: Host, dispatch: Dispatch, sample: Sample) -> None:
        now_seconds = self._lab.clock.now_seconds
        missing_tokens = self._insert(dispatch, sample)
        start_seconds = max(now_seconds, self._free_seconds)
        self._free_seconds = (
            start_seconds + missing_tokens / self._lab.pattern.tokens_per_second
        )
        delay = self._free_seconds - now_seconds + HOP_SECONDS
        self._lab.clock.after(delay, host.first_token, dispatch)
        answer_seconds = sample.call.kind.answer_tokens * STEP_SECONDS
        self._lab.clock.after(delay + answer_seconds, host.done, dispatch, sample)
