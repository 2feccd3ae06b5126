"""Decides what the links to peers need, from when bytes were last received and sent.

A connection may be silent for good while new ones work, and a sound peer may be silent
for a second or so. A silent link is therefore asked first, and then a second one is
opened beside it. Neither gives up the belief that the peer is alive.
"""

import enum

import attrs

from rampwick_schema import ReprMixin

#: Checks within the time after which a peer counts as dead, so that a sound peer is
#: reached over a second link well before that.
CHECKS_PER_TIMEOUT = 12

#: Time since the last message sent after which a link gets a keep-alive, the silence
#: after which a link is asked, and after which it needs a replacement, in checks. A
#: link carries a message at every second check, so that one may be lost.
KEEP_ALIVE_CHECKS = 1.5
ASK_CHECKS = 3.0
REPLACE_CHECKS = 4.0

#: Further silence after which the host with the greater name dials as well. Usually the
#: other host has replaced the link by then.
SECOND_DIALLER_CHECKS = 1.0

#: Age up to which a link is new, in checks.
NEW_CHECKS = 2.0

#: Time between two checks above which this host was late itself, in checks.
MAX_GAP_CHECKS = 2.0


class LinkState(enum.Enum):
    """How long a link has been silent."""

    SOUND = enum.auto()
    #: Silent for longer than the peer's keep-alives allow; to be asked for an answer.
    DOUBTFUL = enum.auto()
    #: Silent although it was asked; to be replaced by a second link.
    SILENT = enum.auto()


@attrs.define(repr=False)
class LinkMonitor(ReprMixin):
    """Decides for all links of one host; times are in seconds of one clock."""

    own_name: str
    dead_after_seconds: float
    _checked_at_seconds: float | None = None
    #: End of the last period in which this host did not check its links in time. What
    #: arrived then may not have been read, so that silence counts from here.
    _resumed_at_seconds: float = 0.0

    @property
    def check_seconds(self) -> float:
        """Time between two checks."""
        return self.dead_after_seconds / CHECKS_PER_TIMEOUT

    def begin_check(self, now_seconds: float) -> None:
        """Note the time of a check of all links."""
        last_seconds = self._checked_at_seconds
        self._checked_at_seconds = now_seconds
        if (
            last_seconds is None
            or now_seconds - last_seconds > MAX_GAP_CHECKS * self.check_seconds
        ):
            self._resumed_at_seconds = now_seconds

    def is_new(self, opened_at_seconds: float, now_seconds: float) -> bool:
        """Return whether the first periodic message may not have arrived yet."""
        return now_seconds - opened_at_seconds < NEW_CHECKS * self.check_seconds

    def needs_keep_alive(self, sent_at_seconds: float, now_seconds: float) -> bool:
        """Return whether nothing has been sent on a link for too long."""
        elapsed_seconds = now_seconds - sent_at_seconds
        return elapsed_seconds > KEEP_ALIVE_CHECKS * self.check_seconds

    def state(
        self, peer_name: str, received_at_seconds: float, now_seconds: float
    ) -> LinkState:
        """Return the state of a link to a peer."""
        since_seconds = max(received_at_seconds, self._resumed_at_seconds)
        silent_checks = (now_seconds - since_seconds) / self.check_seconds
        max_checks = REPLACE_CHECKS
        if self.own_name > peer_name:
            max_checks += SECOND_DIALLER_CHECKS
        if silent_checks >= max_checks:
            return LinkState.SILENT
        if silent_checks >= ASK_CHECKS:
            return LinkState.DOUBTFUL
        return LinkState.SOUND
