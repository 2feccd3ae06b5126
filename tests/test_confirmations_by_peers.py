"""Hosts whose own readings of the store fail, and peers that can read it."""

import math
from types import SimpleNamespace

from testtools import TestCase

from rampwick_router.peers._freshness import OLD_SECONDS, FreshnessPoller


class Peers:
    """Roles, links and messages of a host with three linked peers."""

    def __init__(self, is_reader, age_seconds):
        self.asked = []
        self.age_seconds = age_seconds
        self.answered_at_seconds = 100.0
        self.live_names = {"a", "b", "c"}
        self._is_reader = is_reader
        self.table = SimpleNamespace(
            is_large=False,
            ranked_group_peers=lambda live: [
                SimpleNamespace(name=name) for name in sorted(live)
            ],
        )
        self.poller = FreshnessPoller(self, self, self, lambda: 100.0)

    def is_reader(self):
        return self._is_reader

    def link_to(self, name):
        return name

    def own_ages(self):
        return (self.age_seconds, 0.0)

    def request_ages(self, link):
        self.asked.append(link)


class ReaderWithoutStoreTest(TestCase):
    """A reader of the store that can't reach it asks its peers.

    Guards against refusals of all requests at a host that reached all its peers, which
    had the same revision confirmed: as a reader it asked none of them.
    """

    def test_reader_with_old_data_asks_its_peers_in_turn(self):
        for age_seconds in (OLD_SECONDS + 0.1, math.inf):
            peers = Peers(is_reader=True, age_seconds=age_seconds)
            for _ in range(3):
                peers.poller.query_reader()
            self.assertEqual(["a", "b", "c"], sorted(peers.asked))

    def test_reader_with_recent_data_asks_nobody(self):
        peers = Peers(is_reader=True, age_seconds=1.5)
        self.assertFalse(peers.poller.query_reader())
        self.assertEqual([], peers.asked)

    def test_other_hosts_ask_the_first_reader_until_their_data_is_old(self):
        peers = Peers(is_reader=False, age_seconds=1.5)
        for _ in range(3):
            self.assertTrue(peers.poller.query_reader())
        self.assertEqual(["a", "a", "a"], peers.asked)
        # The first reader answers, but has lost the store as well.
        peers.age_seconds = OLD_SECONDS + 0.1
        for _ in range(3):
            peers.poller.query_reader()
        self.assertEqual(["a", "b", "c"], sorted(peers.asked[3:]))
