"""Seeded workloads of two users: prompts with nested prefixes, Poisson arrivals."""

import random
from collections.abc import Iterator
from functools import lru_cache

import attrs

from rampwick_policy import PrefixChain, Scope, Workspace, build_chain

MODEL = "lektor"
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64


@attrs.frozen
class Kind:
    """A kind of request within a workspace."""

    name: str
    share: float
    priority_class: str
    item_tokens: int
    answer_tokens: int
    #: Whether prompts start with the workspace's guide and a collection.
    has_levels: bool = True


@attrs.frozen
class WorkloadShape:
    """Sizes of the traffic of one user."""

    name: str
    workspaces_count: int
    guide_tokens: int
    collections_count: int
    collection_tokens: int
    kinds: tuple[Kind, ...]
    #: Cache hit rate assumed in the nominal request rate.
    nominal_hit_rate: float = 0.92
    #: Zipf exponent of the popularity of workspaces and collections.
    skew: float = 1.0


HERBARIA = WorkloadShape(
    name="herbaria",
    workspaces_count=8,
    guide_tokens=9_000,
    collections_count=16,
    collection_tokens=1_500,
    kinds=(
        Kind("label", 0.70, "batch", 200, 8),
        Kind("draft", 0.22, "interactive", 300, 120),
        Kind("portal", 0.08, "portal", 300, 10, has_levels=False),
    ),
)
VERDICTS = WorkloadShape(
    name="verdicts",
    workspaces_count=8,
    guide_tokens=2_000,
    collections_count=12,
    collection_tokens=5_000,
    kinds=(
        Kind("verdict", 0.55, "interactive", 400, 12),
        Kind("draft", 0.37, "interactive", 300, 120),
        Kind("portal", 0.08, "portal", 300, 10, has_levels=False),
    ),
    nominal_hit_rate=0.75,
)
SHAPES = {shape.name: shape for shape in (HERBARIA, VERDICTS)}


@attrs.frozen
class Prompt:
    """A prompt in the representations of hosts and runners."""

    chain: PrefixChain
    scope: Scope
    #: Ids of the prompt's cache blocks at a runner, in order.
    blocks: tuple[tuple[str, int], ...]
    tokens: int


@attrs.frozen
class Arrival:
    """A request of the script."""

    at_seconds: float
    workspace: Workspace
    kind: Kind
    prompt: Prompt


def make_workspaces(
    shape: WorkloadShape, weights: dict[int, float] | None = None
) -> list[Workspace]:
    """Return the workspaces of a user, most popular first."""
    return [
        Workspace(
            path=f"/{shape.name}/w{index}",
            weights=(1.0, (weights or {}).get(index, 1.0)),
            limits=(),
        )
        for index in range(shape.workspaces_count)
    ]


class Script:
    """Random requests of a workload; the same seed gives the same requests."""

    def __init__(
        self,
        shape: WorkloadShape,
        seed: int,
        requests_per_second: float,
        shift_at_seconds: float | None = None,
    ) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self._rate = requests_per_second
        self._shift_at_seconds = shift_at_seconds
        self.workspaces = make_workspaces(shape)
        self._workspace_weights = zipf_weights(shape.workspaces_count, shape.skew)
        self._collection_weights = zipf_weights(shape.collections_count, shape.skew)
        self._count = 0

    def arrivals(self, duration_seconds: float) -> Iterator[Arrival]:
        """Yield Poisson arrivals in order of time."""
        at_seconds = 0.0
        while True:
            at_seconds += self._rng.expovariate(self._rate)
            if at_seconds >= duration_seconds:
                return
            yield self._arrival(at_seconds)

    def _arrival(self, at_seconds: float) -> Arrival:
        rng, shape = self._rng, self._shape
        (workspace,) = rng.choices(self.workspaces, self._workspace_weights)
        (kind,) = rng.choices(shape.kinds, [kind.share for kind in shape.kinds])
        numbers = range(shape.collections_count)
        (collection,) = rng.choices(numbers, self._collection_weights)
        shift = self._shift_at_seconds
        if shift is not None and at_seconds >= shift:
            # All hot collections are replaced by new ones.
            collection += 1000
        self._count += 1
        prompt = make_prompt(shape, workspace.path, kind, collection, self._count)
        return Arrival(at_seconds, workspace, kind, prompt)


def zipf_weights(count: int, skew: float) -> list[float]:
    """Return Zipf weights by rank."""
    return [1.0 / (rank + 1) ** skew for rank in range(count)]


def make_prompt(
    shape: WorkloadShape, path: str, kind: Kind, collection: int, number: int
) -> Prompt:
    """Return a prompt of guide, collection and item, or of an item only."""
    levels = []
    if kind.has_levels:
        levels.append((f"{path} guide", shape.guide_tokens))
        levels.append((f"{path} collection {collection}", shape.collection_tokens))
    levels.append((f"{path} item {number}", kind.item_tokens))
    text = b"".join(_text(name, tokens) for name, tokens in levels)
    ends = [tokens * BYTES_PER_TOKEN for _, tokens in levels]
    scope = Scope(path, MODEL)
    chain = build_chain(
        scope,
        text,
        block_bytes=BLOCK_TOKENS * BYTES_PER_TOKEN,
        bytes_per_token=BYTES_PER_TOKEN,
        boundaries_bytes=[sum(ends[: at + 1]) for at in range(len(ends))],
    )
    blocks = tuple(
        (name, index)
        for name, tokens in levels
        for index in range(tokens // BLOCK_TOKENS)
    )
    tokens = sum(tokens for _, tokens in levels)
    return Prompt(chain, scope, blocks, tokens)


@lru_cache(maxsize=4096)
def _text(name: str, tokens: int) -> bytes:
    length = tokens * BYTES_PER_TOKEN
    piece = f"{name}. ".encode()
    return (piece * (length // len(piece) + 1))[:length]
