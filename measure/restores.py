"""What a restore of the store costs, by how hosts order what they read.

Operators write configurations, some of which take a key away; some hosts read them and
tell the others. The store goes away, comes back from an older copy, and operators write
the lost ones again, one after another, or never. Time is stepped, and what is written
is the same for each way.
"""

import argparse
import random
from collections.abc import Callable

import attrs

from rampwick_policy import ConfigurationFollower, ReadTree, RestoredTrees
from rampwick_schema import Node, Tree, join_version

STEP_SECONDS = 0.05
LENGTH_SECONDS = 60.0
#: When the store goes away, and the time between two configurations.
AWAY_AT_SECONDS = 20.0
WRITE_SECONDS = 1.7
#: Time between two looks of a reader at the store, and between two summaries to a host.
READ_SECONDS, GOSSIP_SECONDS = 0.1, 0.25
READERS_COUNT = 3
#: Age of a configuration from which on requests with a key are refused.
MAX_AGE_SECONDS = 5.0
#: Keys that a configuration holds.
KEYS_COUNT = 5
#: Objects of other kinds that are written for each configuration.
OTHER_WRITES = 2

FLEETS = (8, 90)


@attrs.frozen
class Drill:
    """One restore, as drawn for a seed; lost configurations may stay lost."""

    copy_age_seconds: float
    away_seconds: float
    rewrite_after_seconds: float | None


@attrs.define
class Store:
    """The configurations of a store: the present one, and the one of its copy."""

    era: int = 0
    revision: int = 0
    written: int = 0
    tree: Tree = attrs.field(factory=lambda: Tree(0, {"/": Node()}))

    def write(self, tree: Tree) -> None:
        """Accept a configuration."""
        self.revision += 1 + OTHER_WRITES
        self.written = self.revision
        self.tree = tree


class RevisionOnly:
    """A higher revision is newer, and a reading of the store confirms what is known."""

    def __init__(self) -> None:
        self.follower = ConfigurationFollower()
        self.confirmed_at_seconds = 0.0
        #: Highest revision that was in force: keys below it were taken away.
        self.highest_revision = 0
        self._seen_revision = 0

    def read(self, store: Store, now_seconds: float) -> None:
        """Take what the store shows."""
        self.confirmed_at_seconds = now_seconds
        if store.revision >= self._seen_revision:
            self._seen_revision = store.revision
            self.follower.offer_tree(store.tree, "platform")

    def hear(self, other: "RevisionOnly") -> None:
        """Take what another host has, if it is newer."""
        self.follower.offer_tree(other.follower.view.tree, "peer")
        if self.follower.version == other.follower.version:
            self._confirm(other.confirmed_at_seconds)

    def _confirm(self, at_seconds: float) -> None:
        self.confirmed_at_seconds = max(self.confirmed_at_seconds, at_seconds)


class TakeTheCopy(RevisionOnly):
    """Whatever a restored store shows is newer than all before."""

    def read(self, store: Store, now_seconds: float) -> None:
        """Take what the store shows."""
        tree = attrs.evolve(store.tree, store_era=store.era)
        self.follower.offer_tree(tree, "platform")
        self.confirmed_at_seconds = now_seconds


class Hold(RevisionOnly):
    """What a restored store shows is placed by era, and held back where it is older."""

    def __init__(self) -> None:
        super().__init__()
        self._restored = RestoredTrees()

    def read(self, store: Store, now_seconds: float) -> None:
        """Take what the store shows."""
        read = ReadTree(
            store.tree,
            join_version(store.era, store.written),
            join_version(store.era, store.revision),
        )
        offer = self._restored.make_offer(read, self.follower.head, now_seconds)
        if offer.applies_at_seconds > now_seconds:
            return
        self.follower.offer_tree(offer.tree, "platform")
        if store.tree.revision == self.follower.revision:
            self.confirmed_at_seconds = now_seconds


WAYS: dict[str, Callable[[], RevisionOnly]] = {
    "revision only": RevisionOnly,
    "take the copy": TakeTheCopy,
    "hold": Hold,
}


@attrs.define
class Figures:
    """What one run showed; host-seconds are summed over all hosts."""

    #: A key that the host knew to be taken away was accepted.
    returned_key_seconds: float = 0.0
    #: Another configuration than the store's newest was in force after its 2 s.
    late_seconds: float = 0.0
    #: Requests with keys were refused since nothing confirmed the configuration.
    refused_seconds: float = 0.0
    #: At the end other hosts had another configuration than the store.
    apart_count: int = 0


def play(hosts_count: int, way: str, seed: int, is_rewritten: bool) -> Figures:
    """Play one drill."""
    draw = random.Random(f"{seed} {hosts_count} {is_rewritten}")
    drill = Drill(
        draw.uniform(1.0, 8.0),
        draw.uniform(0.5, 3.0),
        draw.uniform(0.0, 6.0) if is_rewritten else None,
    )
    hosts = [WAYS[way]() for _ in range(hosts_count)]
    hear_offsets = [draw.random() * GOSSIP_SECONDS for _ in hosts]
    store, copy, log = Store(), Store(), []
    pending: list[Tree] = []
    figures = Figures()
    next_write_seconds, written_at_seconds, revision = 0.0, 0.0, 0
    back_at_seconds = AWAY_AT_SECONDS + drill.away_seconds
    for step in range(int(LENGTH_SECONDS / STEP_SECONDS)):
        now_seconds = step * STEP_SECONDS
        is_up = not AWAY_AT_SECONDS <= now_seconds < back_at_seconds
        if step == round((AWAY_AT_SECONDS - drill.copy_age_seconds) / STEP_SECONDS):
            copy = attrs.evolve(store)
        if step == round(back_at_seconds / STEP_SECONDS):
            pending = [tree for tree in log if tree.revision > copy.tree.revision]
            store = attrs.evolve(copy, era=1)
            written_at_seconds = now_seconds
            rewrite_seconds = drill.rewrite_after_seconds
            next_write_seconds = now_seconds + (rewrite_seconds or 0.0)
            if rewrite_seconds is None:
                # Nobody writes again, and the numbers go on from the copy's.
                pending, revision = [], copy.tree.revision
                next_write_seconds = now_seconds + draw.uniform(25.0, 30.0)
        if is_up and now_seconds >= next_write_seconds:
            if pending:
                store.write(pending.pop(0))
                next_write_seconds = now_seconds + (0.1 if pending else WRITE_SECONDS)
            else:
                revision += draw.randrange(1, 4)
                log.append(make_tree(revision, serial=len(log)))
                store.write(log[-1])
                next_write_seconds = now_seconds + WRITE_SECONDS
            written_at_seconds = now_seconds
        for index, host in enumerate(hosts):
            is_reader = index < READERS_COUNT
            if is_reader and is_up and step % round(READ_SECONDS / STEP_SECONDS) == 0:
                host.read(store, now_seconds)
            offset_seconds = now_seconds + hear_offsets[index]
            if offset_seconds % GOSSIP_SECONDS < STEP_SECONDS:
                host.hear(hosts[draw.randrange(READERS_COUNT)])
            _count(figures, host, now_seconds)
            if is_up and now_seconds > written_at_seconds + 2.0:
                is_late = host.follower.view.tree.nodes != store.tree.nodes
                is_behind = is_late and not (pending or drill_waits(drill, store, log))
                figures.late_seconds += STEP_SECONDS * is_behind
    figures.apart_count = sum(
        host.follower.view.tree.nodes != store.tree.nodes for host in hosts
    )
    return figures


def make_tree(revision: int, serial: int) -> Tree:
    """Return a configuration that takes the keys below its revision away.

    Its serial tells it from others of the same revision.
    """
    keys = [f"{number:064x}" for number in range(revision, revision + KEYS_COUNT)]
    workspace = Node(is_workspace=True, key_hashes=keys, weight=1.0 + serial)
    return Tree(revision, {"/": Node(), "/t": workspace})


def drill_waits(drill: Drill, store: Store, log: list[Tree]) -> bool:
    """Return whether the store still lacks what operators are to write again."""
    newest = max((tree.revision for tree in log), default=0)
    return drill.rewrite_after_seconds is not None and store.tree.revision < newest


def _count(figures: Figures, host: RevisionOnly, now_seconds: float) -> None:
    revision = host.follower.revision
    if not revision:
        return
    is_stale = now_seconds - host.confirmed_at_seconds > MAX_AGE_SECONDS
    is_returned = revision < host.highest_revision and not is_stale
    host.highest_revision = max(host.highest_revision, revision)
    figures.refused_seconds += STEP_SECONDS * is_stale
    figures.returned_key_seconds += STEP_SECONDS * is_returned


def main(words: list[str]) -> None:
    """Print the figures of all ways."""
    parser = argparse.ArgumentParser(prog="measure restores", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    arguments = parser.parse_args(words)
    print("fleet, written again, way: returned key, late, refused host-s; hosts apart")
    for hosts_count in FLEETS:
        for is_rewritten in (True, False):
            for way in WAYS:
                runs = [
                    play(hosts_count, way, seed, is_rewritten)
                    for seed in range(arguments.seeds)
                ]
                means = [
                    sum(getattr(run, field.name) for run in runs) / len(runs)
                    for field in attrs.fields(Figures)
                ]
                row = ", ".join(f"{mean:.1f}" for mean in means)
                print(f"{hosts_count} hosts, {is_rewritten}, {way}: {row}", flush=True)


if __name__ == "__main__":
    main([])
