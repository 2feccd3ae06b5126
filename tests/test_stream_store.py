"""Begun streams and histories are read beside records that can't be."""

import anyio
from testtools import TestCase

from rampwick_platform import NAMELESS, UNREADABLE, Listing, StoredObject, StreamStore
from rampwick_platform._stream_store import STREAMS_PREFIX


class Pages:
    """A store that lists one object a page."""

    def __init__(self, keys):
        self.keys = [STREAMS_PREFIX + key for key in keys]
        self.listed_after = []

    async def list_objects(self, prefix, after_key=""):
        """Return the page after a key, with what can't be read on the page before."""
        self.listed_after.append(after_key)
        start = self.keys.index(after_key) + 1 if after_key else 0
        keys = self.keys[start : start + 1]
        objects = [StoredObject(key, 1, b"{}") for key in keys]
        nameless = StoredObject(STREAMS_PREFIX + NAMELESS, 1, UNREADABLE)
        is_truncated = start + 1 < len(self.keys)
        return Listing(1, [*objects, nameless], is_truncated=is_truncated)


class NamelessOnly(Pages):
    """A store whose pages have no name that can be read."""

    async def list_objects(self, prefix, after_key=""):
        """Return the same page each time."""
        self.listed_after.append(after_key)
        nameless = StoredObject(STREAMS_PREFIX + NAMELESS, 1, UNREADABLE)
        return Listing(1, [nameless], is_truncated=True)


class StreamStoreTest(TestCase):
    def read(self, api):
        problems = []
        store = StreamStore(api, lambda key, error: problems.append(key))
        anyio.run(store.read)
        return problems

    def test_record_without_a_name_at_the_end_of_a_page_hides_no_later_page(self):
        api = Pages(["a-0", "a-1", "a-history"])
        problems = self.read(api)
        self.assertEqual(["", api.keys[0], api.keys[1]], api.listed_after)
        self.assertLessEqual(set(api.keys), set(problems))

    def test_pages_without_any_name_end_the_reading(self):
        api = NamelessOnly([])
        self.read(api)
        self.assertEqual([""], api.listed_after)
