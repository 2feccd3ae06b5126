"""Software versions that streams have to stay with.

Upstreams of several software versions may serve in one service, and what one version
writes does not fit what another one goes on with. Upstreams do not check that, so a
stream is only sent to upstreams of the version that produced its first event: over the
retries within one answer, and over the requests of a caller that takes it up.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

from rampwick_schema import HostEntry, ReprMixin

from ._begun_streams import (
    MAX_ATTEMPT_NUMBER,
    RETENTION_SECONDS,
    UNKNOWN_VERSION,
    BegunStream,
    BegunStreams,
    request_instance,
)
from ._events import RequestArrived
from ._queue import QueuedRequest
from ._reasons import NO_SAME_VERSION, UNKNOWN_SOFTWARE
from ._runner_views import ListedViews, RunnerView, RunnerViews
from ._stream_segments import StreamSegments
from ._upstream import Upstream
from ._upstreams import UpstreamTable
from ._version_history import VersionHistory

#: ``Retry-After`` for a stream of unknown version. Another host may know the version,
#: and updates of peers take less.
UNKNOWN_RETRY_SECONDS = 0.25

#: ``Retry-After`` while no upstream of the version is listed. One that crashed is
#: started again within seconds.
NO_UPSTREAM_RETRY_SECONDS = 1.0

#: How the version of a stream that a caller takes up was found, as used in metrics.
RECORDED, STORED, ONLY_VERSION = "recorded", "stored", "only version"
UNKNOWN, GONE = "unknown", "gone"


@attrs.frozen(repr=False)
class Unresumable(ReprMixin):
    """Why a stream can't be taken up here now."""

    reason: str
    retry_after_seconds: float
    #: Why the version is not known or can't be used.
    evidence: str = ""


@attrs.frozen(repr=False)
class FoundVersion(ReprMixin):
    """The version at which a stream began, as far as this host can tell."""

    found_by: str
    software_version: str = UNKNOWN_VERSION
    evidence: str = ""


class SoftwareVersions:
    """Restricts streams that have begun to upstreams of their version."""

    def __init__(self, upstreams: UpstreamTable, *, is_enabled: bool) -> None:
        self._upstreams = upstreams
        #: Whether the entries of upstreams state versions.
        self.is_enabled = is_enabled
        self.history = VersionHistory()
        self.streams = BegunStreams(self.history)
        self.streams.on_state = self.note_in_use
        self.segments = StreamSegments(self.history)
        if is_enabled:
            self.streams.storage = self.segments
        #: Number of streams that callers took up, by how their version was found.
        self.resumed_counts: Counter[str] = Counter()

    def note_listed(self, now_seconds: float) -> None:
        """Record the versions of the listed upstreams."""
        if self.is_enabled:
            self.history.note_listed(self._upstreams, now_seconds)

    def note_transient(self, entries: Iterable[HostEntry], now_seconds: float) -> None:
        """Record the versions of entries that came and went between two lists."""
        if not self.is_enabled:
            return
        for entry in entries:
            self.history.note_begun(entry.group, entry.software_version, now_seconds)

    def note_in_use(self, now_seconds: float) -> None:
        """Record that the listed versions are in use until now.

        The list is read anew at changes only. An old list tells nothing of now.
        """
        if self.history.known_seconds(now_seconds):
            self.note_listed(now_seconds)

    def note_time(self, now_seconds: float) -> None:
        """Record that time has passed."""
        if self.is_enabled:
            self.history.note_time(now_seconds)

    # Streams that callers take up.

    def check_resumption(
        self, item: QueuedRequest, now_seconds: float
    ) -> Unresumable | None:
        """Bind a stream that its caller takes up; return why it can't be."""
        arrival = item.arrival
        if not self._is_resumption(arrival):
            return None
        found = self._find_version(arrival, now_seconds)
        if found.found_by != UNKNOWN and not self._is_listed(
            arrival.service, found.software_version, now_seconds
        ):
            found = attrs.evolve(found, found_by=GONE)
        self.resumed_counts[found.found_by] += 1
        if found.found_by == UNKNOWN:
            return Unresumable(UNKNOWN_SOFTWARE, UNKNOWN_RETRY_SECONDS, found.evidence)
        evidence = f"version {found.software_version}, {found.evidence}"
        if found.found_by == GONE:
            return Unresumable(NO_SAME_VERSION, NO_UPSTREAM_RETRY_SECONDS, evidence)
        item.software_version = found.software_version
        item.version_evidence = evidence
        # What a caller only says must not bring its request before others.
        item.has_begun = found.found_by in (RECORDED, STORED)
        return None

    def needs_recent_list(self, arrival: RequestArrived, now_seconds: float) -> bool:
        """Return whether a list that is read now can tell where a stream began."""
        if not self._is_resumption(arrival):
            return False
        has_record = self.streams.find(arrival.resumed_key, now_seconds) is not None
        return (
            not has_record
            and not self._is_confirmed(arrival, now_seconds)
            and bool(self._only_version(arrival, now_seconds))
        )

    def _is_resumption(self, arrival: RequestArrived) -> bool:
        return self.is_enabled and arrival.is_stream and arrival.is_resumption

    def _is_confirmed(self, arrival: RequestArrived, now_seconds: float) -> bool:
        """Return whether the list has all upstreams at which a stream can have begun.

        An upstream that was listed after the list was read may have begun it at another
        host, whose update may have been lost.
        """
        confirmed_at_seconds = self.history.confirmed_at_seconds(now_seconds)
        return confirmed_at_seconds >= arrival.received_at_seconds

    def _only_version(self, arrival: RequestArrived, now_seconds: float) -> str | None:
        return self.history.only_version(
            arrival.service,
            self._upstreams,
            arrival.max_stream_age_seconds,
            now_seconds,
        )

    def _find_version(
        self, arrival: RequestArrived, now_seconds: float
    ) -> FoundVersion:
        begun = self.streams.find(arrival.resumed_key, now_seconds)
        if begun is not None:
            return _read_record(begun, arrival.service)
        only = self._only_version(arrival, now_seconds)
        if not only:
            known_seconds = self.history.known_seconds(now_seconds)
            evidence = (
                f"no record; all versions known for {known_seconds:.1f} s, "
                f"a stream may be {arrival.max_stream_age_seconds:.1f} s old"
            )
            return FoundVersion(UNKNOWN, evidence=evidence)
        confirmed_at_seconds = self.history.confirmed_at_seconds(now_seconds)
        after_seconds = confirmed_at_seconds - arrival.received_at_seconds
        age_seconds = now_seconds - confirmed_at_seconds
        evidence = (
            f"only version {only} by a list of age {age_seconds:.3f} s, confirmed "
            f"{abs(after_seconds):.3f} s {'before' if after_seconds < 0 else 'after'} "
            "the request was read"
        )
        if self._is_confirmed(arrival, now_seconds):
            return FoundVersion(ONLY_VERSION, only, evidence)
        return FoundVersion(UNKNOWN, evidence=f"no record; {evidence}")

    def _is_listed(self, service: str, version: str, now_seconds: float) -> bool:
        """Return whether an upstream of a version is listed and not leaving."""
        return any(
            upstream.entry.group == service
            and is_same_version(upstream, version)
            and not self._upstreams.is_draining(upstream, now_seconds)
            for upstream in self._upstreams
        )

    # Attempts.

    def note_first_event(self, item: QueuedRequest, now_seconds: float) -> None:
        """Record that the current attempt of a request sends its first event."""
        arrival = item.arrival
        if not self.is_enabled or not arrival.is_resumable:
            return
        if item.software_version is None:
            item.software_version = item.attempt_software_version
        item.has_begun = True
        if not arrival.stream_key:
            return
        stream = BegunStream(
            arrival.service,
            item.software_version,
            request_instance(arrival.request_id),
            min(item.lifecycle.attempts_count, MAX_ATTEMPT_NUMBER),
            arrival.deadline_seconds + RETENTION_SECONDS,
        )
        self.streams.note_begun(arrival.stream_key, stream, now_seconds)
        if arrival.is_resumption and arrival.resumed_key:
            # The caller goes on naming the request that began the stream.
            begun = self.streams.find(arrival.resumed_key, now_seconds) or stream
            begun = attrs.evolve(begun, expires_at_seconds=stream.expires_at_seconds)
            self.streams.note_begun(arrival.resumed_key, begun, now_seconds)

    def allowed_views(self, item: QueuedRequest, views: RunnerViews) -> RunnerViews:
        """Return the upstreams at which a request may run."""
        if item.software_version is None:
            return views
        return self._of_version(item.software_version, views)

    def _of_version(self, version: str, views: RunnerViews) -> RunnerViews:
        names = [
            name
            for name in views.names
            if (upstream := self._upstreams.get(name)) is not None
            and is_same_version(upstream, version)
        ]
        return ListedViews(
            _view(views, name) for name in sorted(names, key=views.position)
        )


def _read_record(begun: BegunStream, service: str) -> FoundVersion:
    if begun.software_version == UNKNOWN_VERSION:
        return FoundVersion(UNKNOWN, evidence="recorded without a single version")
    if begun.service != service:
        evidence = f"recorded in service {begun.service}"
        return FoundVersion(UNKNOWN, evidence=evidence)
    if begun.is_from_store:
        return FoundVersion(STORED, begun.software_version, "recorded in the store")
    return FoundVersion(RECORDED, begun.software_version, "recorded by a host")


def is_same_version(upstream: Upstream, version: str) -> bool:
    """Return whether an upstream certainly has a software version."""
    return version != UNKNOWN_VERSION and upstream.entry.software_version == version


def _view(views: RunnerViews, name: str) -> RunnerView:
    view = views.get(name)
    assert view is not None
    return view
