"""Compare strategies to order configurations after a restore of the store.

Operators write configurations, some of which revoke a key; some hosts read them and
publish them to the others. The store fails and is restored from an older copy, and
operators rewrite the lost configurations one after another, or never. Time is stepped,
and the writes are the same for each strategy.
"""

import argparse
import random
from collections.abc import Callable

import attrs

from rampwick_policy import ConfigurationFollower, ReadTree, RestoredTrees
from rampwick_schema import Node, Tree, join_version

STEP_SECONDS = 0.05
LENGTH_SECONDS = 60.0
#: Start of the store's outage, and the time between two configurations.
OUTAGE_START_SECONDS = 20.0
WRITE_INTERVAL_SECONDS = 1.7
#: Poll interval of readers, and the interval of summaries that a host receives.
READ_SECONDS, GOSSIP_SECONDS = 0.1, 0.25
READERS_COUNT = 3
#: Time since the last confirmation after which requests with a key are refused.
MAX_AGE_SECONDS = 5.0
#: Number of keys in a configuration.
KEYS_COUNT = 5
#: Number of objects of other kinds written per configuration.
OTHER_WRITES_COUNT = 2

FLEETS = (8, 90)


@attrs.frozen
class RestoreScenario:
    """Random parameters of one restore; None if lost configurations stay lost."""

    copy_age_seconds: float
    outage_seconds: float
    rewrite_after_seconds: float | None


@attrs.define
class Store:
    """State of the store: era, version counters and current configuration."""

    era: int = 0
    revision: int = 0
    written: int = 0
    tree: Tree = attrs.field(factory=lambda: Tree(0, {"/": Node()}))

    def write(self, tree: Tree) -> None:
        """Write a configuration."""
        self.revision += 1 + OTHER_WRITES_COUNT
        self.written = self.revision
        self.tree = tree


class RevisionOnly:
    """Orders by revision only; every read of the store counts as a confirmation."""

    def __init__(self) -> None:
        self.follower = ConfigurationFollower()
        self.confirmed_at_seconds = 0.0
        #: Highest revision that was in force; keys of lower ones are revoked.
        self.highest_revision = 0
        self._read_revision = 0

    def read(self, store: Store, now_seconds: float) -> None:
        """Read the configuration from the store."""
        self.confirmed_at_seconds = now_seconds
        if store.revision >= self._read_revision:
            self._read_revision = store.revision
            self.follower.offer_tree(store.tree, "platform")

    def receive(self, other: "RevisionOnly") -> None:
        """Receive the configuration of another host and apply it if it is newer."""
        self.follower.offer_tree(other.follower.view.tree, "peer")
        if self.follower.version == other.follower.version:
            self._confirm(other.confirmed_at_seconds)

    def _confirm(self, at_seconds: float) -> None:
        self.confirmed_at_seconds = max(self.confirmed_at_seconds, at_seconds)


class AcceptCopy(RevisionOnly):
    """Treats the content of a restored store as newer than everything before."""

    def read(self, store: Store, now_seconds: float) -> None:
        """Read the configuration from the store."""
        tree = attrs.evolve(store.tree, store_era=store.era)
        self.follower.offer_tree(tree, "platform")
        self.confirmed_at_seconds = now_seconds


class HoldBackOlder(RevisionOnly):
    """Orders the content of a restored store by era and holds back older content."""

    def __init__(self) -> None:
        super().__init__()
        self._restored = RestoredTrees()

    def read(self, store: Store, now_seconds: float) -> None:
        """Read the configuration from the store."""
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


STRATEGIES: dict[str, Callable[[], RevisionOnly]] = {
    "revision only": RevisionOnly,
    "take the copy": AcceptCopy,
    "hold": HoldBackOlder,
}


@attrs.define
class Figures:
    """Results of one run; host-seconds are summed over all hosts."""

    #: Time in which a key was accepted that the host had seen revoked.
    returned_key_seconds: float = 0.0
    #: Time in which the store's newest configuration, older than 2 s, was not in force.
    late_seconds: float = 0.0
    #: Time in which requests with keys were refused for lack of a confirmation.
    refused_seconds: float = 0.0
    #: Number of hosts whose configuration differs from the store's at the end.
    diverged_count: int = 0


def run_scenario(
    hosts_count: int, strategy: str, seed: int, is_rewritten: bool
) -> Figures:
    """Simulate one restore."""
    rng = random.Random(f"{seed} {hosts_count} {is_rewritten}")
    scenario = RestoreScenario(
        rng.uniform(1.0, 8.0),
        rng.uniform(0.5, 3.0),
        rng.uniform(0.0, 6.0) if is_rewritten else None,
    )
    hosts = [STRATEGIES[strategy]() for _ in range(hosts_count)]
    gossip_offsets = [rng.random() * GOSSIP_SECONDS for _ in hosts]
    store, copy, log = Store(), Store(), []
    pending: list[Tree] = []
    figures = Figures()
    next_write_seconds, written_at_seconds, revision = 0.0, 0.0, 0
    outage_end_seconds = OUTAGE_START_SECONDS + scenario.outage_seconds
    for step in range(int(LENGTH_SECONDS / STEP_SECONDS)):
        now_seconds = step * STEP_SECONDS
        is_up = not OUTAGE_START_SECONDS <= now_seconds < outage_end_seconds
        if step == round(
            (OUTAGE_START_SECONDS - scenario.copy_age_seconds) / STEP_SECONDS
        ):
            copy = attrs.evolve(store)
        if step == round(outage_end_seconds / STEP_SECONDS):
            pending = [tree for tree in log if tree.revision > copy.tree.revision]
            store = attrs.evolve(copy, era=1)
            written_at_seconds = now_seconds
            rewrite_seconds = scenario.rewrite_after_seconds
            next_write_seconds = now_seconds + (rewrite_seconds or 0.0)
            if rewrite_seconds is None:
                # Nothing is rewritten, and revisions continue from the copy's.
                pending, revision = [], copy.tree.revision
                next_write_seconds = now_seconds + rng.uniform(25.0, 30.0)
        if is_up and now_seconds >= next_write_seconds:
            if pending:
                store.write(pending.pop(0))
                next_write_seconds = now_seconds + (
                    0.1 if pending else WRITE_INTERVAL_SECONDS
                )
            else:
                revision += rng.randrange(1, 4)
                log.append(make_tree(revision, serial=len(log)))
                store.write(log[-1])
                next_write_seconds = now_seconds + WRITE_INTERVAL_SECONDS
            written_at_seconds = now_seconds
        for index, host in enumerate(hosts):
            is_reader = index < READERS_COUNT
            if is_reader and is_up and step % round(READ_SECONDS / STEP_SECONDS) == 0:
                host.read(store, now_seconds)
            offset_seconds = now_seconds + gossip_offsets[index]
            if offset_seconds % GOSSIP_SECONDS < STEP_SECONDS:
                host.receive(hosts[rng.randrange(READERS_COUNT)])
            _count(figures, host, now_seconds)
            if is_up and now_seconds > written_at_seconds + 2.0:
                is_outdated = host.follower.view.tree.nodes != store.tree.nodes
                is_late = is_outdated and not (
                    pending or is_rewrite_pending(scenario, store, log)
                )
                figures.late_seconds += STEP_SECONDS * is_late
    figures.diverged_count = sum(
        host.follower.view.tree.nodes != store.tree.nodes for host in hosts
    )
    return figures


def make_tree(revision: int, serial: int) -> Tree:
    """Return a configuration that revokes the keys below its revision.

    The serial distinguishes configurations of the same revision.
    """
    keys = [f"{number:064x}" for number in range(revision, revision + KEYS_COUNT)]
    workspace = Node(is_workspace=True, key_hashes=keys, weight=1.0 + serial)
    return Tree(revision, {"/": Node(), "/t": workspace})


def is_rewrite_pending(
    scenario: RestoreScenario, store: Store, log: list[Tree]
) -> bool:
    """Return whether operators have lost configurations left to rewrite."""
    newest = max((tree.revision for tree in log), default=0)
    return scenario.rewrite_after_seconds is not None and store.tree.revision < newest


def _count(figures: Figures, host: RevisionOnly, now_seconds: float) -> None:
    revision = host.follower.revision
    if not revision:
        return
    is_stale = now_seconds - host.confirmed_at_seconds > MAX_AGE_SECONDS
    is_returned = revision < host.highest_revision and not is_stale
    host.highest_revision = max(host.highest_revision, revision)
    figures.refused_seconds += STEP_SECONDS * is_stale
    figures.returned_key_seconds += STEP_SECONDS * is_returned


def main(argv: list[str]) -> None:
    """Print the figures of all strategies."""
    parser = argparse.ArgumentParser(prog="measure restores", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    arguments = parser.parse_args(argv)
    print("fleet, written again, way: returned key, late, refused host-s; hosts apart")
    for hosts_count in FLEETS:
        for is_rewritten in (True, False):
            for strategy in STRATEGIES:
                runs = [
                    run_scenario(hosts_count, strategy, seed, is_rewritten)
                    for seed in range(arguments.seeds)
                ]
                means = [
                    sum(getattr(run, field.name) for run in runs) / len(runs)
                    for field in attrs.fields(Figures)
                ]
                row = ", ".join(f"{mean:.1f}" for mean in means)
                print(
                    f"{hosts_count} hosts, {is_rewritten}, {strategy}: {row}",
                    flush=True,
                )


if __name__ == "__main__":
    main([])
