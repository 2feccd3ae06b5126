"""Fakes of interfaces, with fault injection."""

from rampwick_platform import Listing, OutcomeUnknownError, VersionConflictError
from rampwick_standin import ObjectStore, PreconditionError


class FakeApi:
    """The object API on an in-memory store, with fault injection."""

    def __init__(self, store=None):
        self.store = store or ObjectStore()
        self.lose_answers = 0
        self.lose_writes = 0
        self.before_put = None
        self.era = 0

    async def get(self, key):
        return self.store.get(key)

    async def put(self, key, value, expected_version):
        if self.before_put:
            before, self.before_put = self.before_put, None
            await before()
        if self.lose_writes:
            self.lose_writes -= 1
            raise OutcomeUnknownError("lost", step="put")
        try:
            version = self.store.put(key, value, expected_version)
        except PreconditionError as error:
            raise VersionConflictError(str(error), step="put") from None
        if self.lose_answers:
            self.lose_answers -= 1
            raise OutcomeUnknownError("lost", step="put")
        return version

    async def list_objects(self, prefix, after_key=""):
        return Listing(self.store.version, self.store.list_items(prefix, after_key))


class ImmediateSender:
    """Fake sender of a host whose link has room for everything."""

    def __init__(self, links=None):
        self.links = links

    def broadcast_state(self, kind, message, is_recipient):
        self.links.broadcast(message, is_recipient)

    broadcast_difference = broadcast_state

    def put_difference(self, kind, link, message):
        link.put(message)

    def is_sent(self, kind):
        return True
