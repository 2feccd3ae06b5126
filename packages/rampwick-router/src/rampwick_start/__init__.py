"""Early start of a host: what must not wait until the daemon is imported.

The callers' listener is bound, and signals that the daemon handles no longer end the
process: connections that wait by then would be reset.

The import takes about half a second. If all hosts restart at once, a caller whose
connection is refused meanwhile tries the next host, which refuses it as well, until it
runs out of retries. With an early listener, connections wait in the backlog until the
daemon runs. To be fast itself, this package imports only small modules of the standard
library.
"""

import gc
import importlib
import os
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any, NoReturn

#: Length of the queue of connections that wait to be accepted.
BACKLOG_COUNT = 1024


class EarlySignals:
    """Signals that arrive while no event loop handles them.

    Without a handler, each of them ends the process.
    """

    def __init__(self) -> None:
        self._is_listening = False
        self.is_reload_requested = False
        #: Monotonic times of the requests to stop.
        self.stops_requested_at_seconds: list[float] = []

    def listen(self) -> None:
        """Note signals from now on."""
        self._is_listening = True
        signal.signal(signal.SIGHUP, self._note_reload)
        self.note_stops()

    def note_stops(self) -> None:
        """Note requests to stop from now on, also while the event loop is busy.

        The loop is woken by any signal that has a handler, whichever it is.
        """
        signal.signal(signal.SIGTERM, self._note_stop)

    def take_stop_wait_seconds(self, now_seconds: float) -> float:
        """Return for how long the oldest noted request to stop has waited, or 0."""
        if not self.stops_requested_at_seconds:
            return 0.0
        return now_seconds - self.stops_requested_at_seconds.pop(0)

    def block(self) -> None:
        """Block the signals of a process that listened and now exits.

        The event loop restores their default action, the end of the process, as it
        closes.
        """
        if self._is_listening:
            numbers = (signal.SIGHUP, signal.SIGTERM)
            signal.pthread_sigmask(signal.SIG_BLOCK, numbers)

    def _note_reload(self, number: int, frame: Any) -> None:
        self.is_reload_requested = True

    def _note_stop(self, number: int, frame: Any) -> None:
        self.stops_requested_at_seconds.append(time.monotonic())


#: The signals of this process.
early_signals = EarlySignals()


def bind_early(path: Path) -> socket.socket | None:
    """Listen on the callers' address in a settings file, if it contains one.

    Errors in the file or the address are ignored here: the daemon reads the file again,
    binds the remaining listeners and reports the errors.
    """
    try:
        address = tomllib.loads(path.read_text())["listen"]["entry"]
        return bind(address)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def bind(address: str) -> socket.socket:
    """Return a listener on an address of the form ip:port.

    Accepted connections inherit that small messages are sent at once, rather than with
    the acknowledgement of the one before. The event loop sets this option on sockets
    that it connects, but not on accepted ones of a listener without a protocol number.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=BACKLOG_COUNT)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)
    return listener


def main() -> int:
    """Load and run the daemon of rampwick's own platform; return its exit code."""
    early_signals.listen()
    return int(load("rampwick_router").main())


def end_process(exit_code: int = 0) -> NoReturn:
    """End the process without the interpreter's steps, which only return memory.

    On a busy machine they take longer than what is left until a stopping process is
    killed. Locks and threads are not waited for, and neither is the reader of a pipe.
    """
    try:
        sys.stdout.flush()
        sys.stderr.flush()
    finally:
        os._exit(exit_code)


def load(name: str) -> Any:
    """Import a module with the garbage collector disabled.

    The import creates no garbage, and collections take an eighth of the CPU time of a
    start (measured over five starts with and five without them).
    """
    gc.disable()
    try:
        return importlib.import_module(name)
    finally:
        gc.freeze()
        gc.enable()
