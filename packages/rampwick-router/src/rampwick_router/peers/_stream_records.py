"""Records of begun streams, sent to peers as fast as the own link has room for them."""

from collections.abc import Callable

from rampwick_policy import BegunStreams, Member, MessageKind, Outbox, split_update
from rampwick_schema import BegunStreamsUpdate

from ._links import Link
from ._paced_sender import PacedSender
from ._roles import Roles


class StreamRecordSender:
    """Sends the records of streams that this host began or forwards."""

    def __init__(
        self, streams: BegunStreams, sender: PacedSender, roles: Roles
    ) -> None:
        self._streams = streams
        self._sender = sender
        self._roles = roles

    def outboxes(self) -> list[tuple[Outbox, Callable[[BegunStreamsUpdate], None]]]:
        """Return each source of updates and the function that broadcasts them."""
        return [
            (self._streams.to_all, self._broadcast),
            (self._streams.to_group, self._broadcast_to_group),
        ]

    def is_ready(self) -> bool:
        """Return whether all earlier records have been sent, but to slow peers."""
        return self._sender.is_sent(MessageKind.BEGUN_STREAMS)

    def send_initial_state(self, link: Link, now_seconds: float) -> None:
        """Send a new peer the versions now, and the many records one by one."""
        versions, *parts = split_update(self._streams.initial_state(now_seconds))
        link.put(versions)
        for part in parts:
            self._sender.put_difference(MessageKind.BEGUN_STREAM_STATES, link, part)

    def _broadcast(self, update: BegunStreamsUpdate) -> None:
        is_relay = self._roles.is_relay()
        self._send(update, lambda peer: is_relay or self._roles.is_recipient(peer))

    def _broadcast_to_group(self, update: BegunStreamsUpdate) -> None:
        self._send(update, self._roles.is_in_own_group)

    def _send(
        self, update: BegunStreamsUpdate, is_recipient: Callable[[Member], bool]
    ) -> None:
        for part in split_update(update):
            if part.groups:
                self._sender.broadcast_difference(
                    MessageKind.BEGUN_STREAMS, part, is_recipient
                )
