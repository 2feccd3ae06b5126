"""Differences between versions of the host list, sent instead of the full list."""

from rampwick_schema import HostList, HostListChanges


def diff_hosts(base: HostList, current: HostList) -> HostListChanges:
    """Return the changes from ``base`` to ``current``.

    Retained entries are always included: the receiver's list may lack them.
    """
    before = {entry.name: entry for entry in base.hosts}
    after = {entry.name: entry for entry in current.hosts}
    return HostListChanges(
        base_version=base.version,
        version=current.version,
        changed=[
            entry
            for name, entry in after.items()
            if entry.last_listed_version or before.get(name) != entry
        ],
        removed=sorted(before.keys() - after.keys()),
    )


def patch_hosts(base: HostList, changes: HostListChanges) -> HostList | None:
    """Return the patched list; ``None`` if the whole list is needed.

    It is if the changes have another base version, or the base has retained entries:
    the sender's base may lack them, or an older release may not mark them.
    """
    if base.version != changes.base_version:
        return None
    if any(entry.last_listed_version for entry in base.hosts):
        return None
    hosts = {entry.name: entry for entry in base.hosts}
    for name in changes.removed:
        hosts.pop(name, None)
    for entry in changes.changed:
        hosts[entry.name] = entry
    return HostList(version=changes.version, hosts=list(hosts.values()))
