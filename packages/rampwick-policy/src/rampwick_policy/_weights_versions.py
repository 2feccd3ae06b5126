"""The weights versions that the runners of each service have."""

from collections.abc import Iterable

from ._upstreams import UpstreamTable


class WeightsVersions:
    """Weights versions by service, in the order of the upstreams that have them."""

    def __init__(self, upstreams: UpstreamTable) -> None:
        self._upstreams = upstreams
        self._seen_changes_count = -1
        #: Service, position and version of each upstream with a known version.
        self._known: dict[str, tuple[str, int, int]] = {}
        self._by_service: dict[str, list[int]] | None = None

    def of_service(self, service: str) -> list[int]:
        """Return the weights versions of a service's runners."""
        for name in self._changed_names():
            self._renew(name)
        self._seen_changes_count = self._upstreams.changes.count
        if self._by_service is None:
            self._by_service = self._collect()
        return self._by_service.get(service, [])

    def _changed_names(self) -> Iterable[str]:
        changed = self._upstreams.changes.changed_since(self._seen_changes_count)
        if changed is None or self._seen_changes_count < 0:
            return {upstream.name for upstream in self._upstreams} | self._known.keys()
        return changed

    def _renew(self, name: str) -> None:
        upstream = self._upstreams.get(name)
        generation = upstream.cache_generation if upstream is not None else None
        item = None
        if upstream is not None and generation is not None:
            group = upstream.entry.group
            item = (group, upstream.position, generation.weights_version)
        if item == self._known.get(name):
            return
        self._by_service = None
        if item is None:
            del self._known[name]
        else:
            self._known[name] = item

    def _collect(self) -> dict[str, list[int]]:
        versions: dict[str, dict[int, None]] = {}
        for service, _, version in sorted(
            self._known.values(), key=lambda item: item[1]
        ):
            versions.setdefault(service, {})[version] = None
        return {service: list(found) for service, found in versions.items()}
