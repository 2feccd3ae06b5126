"""Starting and stopping of the daemon: ready, not ready, closed, gone."""

import anyio

from rampwick_platform import move_on_after_aligned


class Life:
    """Steps of a planned stop; each is an event that tasks wait for.

    The first ``begin_stop`` starts a stop that cuts no request; the second one
    hurries it: what is open then ends with an error.
    """

    def __init__(self) -> None:
        self._stopping = anyio.Event()
        self._hurrying = anyio.Event()
        #: Steady time by which a stopping host is gone; none while it has time.
        self.gone_by_seconds: float | None = None
        #: Whether the balancer has had the time to send callers elsewhere.
        self.has_balancer_turned = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer shall send requests here."""
        return not self._stopping.is_set()

    @property
    def is_hurried(self) -> bool:
        """Whether open requests are not waited for."""
        return self._hurrying.is_set()

    def begin_stop(self) -> None:
        """Begin a planned stop, or hurry one that has begun."""
        if self._stopping.is_set():
            self._hurrying.set()
        self._stopping.set()

    async def wait_stopping(self) -> None:
        """Return when a stop has begun."""
        await self._stopping.wait()

    async def pause(self, seconds: float) -> None:
        """Wait, but not on when the stop is hurried."""
        with move_on_after_aligned(seconds):
            await self._hurrying.wait()
