"""Object store of the simulated platform, without I/O or clock."""

import attrs


class PreconditionError(Exception):
    """Raised if a conditional write finds another version."""


@attrs.frozen
class Item:
    """A stored object."""

    key: str
    version: int
    value: bytes


@attrs.define
class ObjectStore:
    """Objects by key, with one version counter for all writes."""

    version: int = 0
    items: dict[str, Item] = attrs.field(factory=dict)
    #: Successful conditional writes, for history checks.
    log: list[Item] = attrs.field(factory=list)

    def get(self, key: str) -> Item | None:
        """Return an object, if it exists."""
        return self.items.get(key)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the stored version is the expected one; return the new version.

        The version of an absent object is 0.
        """
        found = self.items[key].version if key in self.items else 0
        if found != expected_version:
            raise PreconditionError(f"{key}: version {found}, not {expected_version}")
        self.version += 1
        self.items[key] = Item(key, self.version, value)
        self.log.append(self.items[key])
        return self.version

    def list_items(self, prefix: str, after_key: str = "") -> list[Item]:
        """Return the objects under a prefix, sorted by key."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return [self.items[key] for key in keys if key > after_key]

    def written_after(self, prefix: str, version: int) -> list[Item]:
        """Return the objects under a prefix written after a version."""
        return [item for item in self.list_items(prefix) if item.version > version]
