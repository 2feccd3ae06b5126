"""Answers without end, many at once, leave a host process within its memory."""

import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import httpx
import orjson
from testtools import TestCase

from rampwick_router.entry._call import hash_key

KEY = "a key"

#: Memory of the smallest hosts that are in use.
HOST_BYTES = 150_000_000

#: Size at which a process is ended for the sake of the machine.
GIVE_UP_BYTES = 500_000_000

CALLERS_COUNT = 100
PLAY_SECONDS = 8.0
READ_BYTES = 65_536

SETTINGS = """
[host]
name = "e"
hall = "trnava"
[listen]
entry = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
[life]
fallback_tree = "{tree}"
[limits]
write_timeout_seconds = 5.0
"""
RUNNER = """
[nodes."/t"]
is_workspace = true
key_hashes = ["{key_hash}"]
[[hosts]]
name = "r"
kind = "runner"
hall = "trnava"
address = "{runner}"
[[hosts]]
name = "s"
kind = "service"
hall = "trnava"
group = "labels"
address = "{service}"
"""
REPORT = {
    "incarnation": "i",
    "model": "m",
    "weights_version": 1,
    "slots_count": 200,
    "running_count": 0,
    "waiting_tokens": 0,
    "prefill_tokens_per_second": 0.0,
    "cache_tokens": 0,
}


class PouringServer:
    """Answers probes, and every other request without end."""

    def __init__(self, start, repeated):
        self._start, self._repeated = start, repeated
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.requests_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted):
        with accepted:
            try:
                while head := self._read_head(accepted):
                    if b" /load " in head:
                        self._answer_probe(accepted)
                        continue
                    self.requests_count += 1
                    self._pour(accepted, head)
                    return
            except OSError:
                return

    def _read_head(self, accepted):
        received = b""
        while b"\r\n\r\n" not in received:
            data = accepted.recv(READ_BYTES)
            if not data:
                return b""
            received += data
        return received

    def _answer_probe(self, accepted):
        body = orjson.dumps(REPORT)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        accepted.sendall(head + body)

    def _pour(self, accepted, head):
        found = re.search(rb"(?i)x-request-id: (\S+)", head)
        lines = [
            b"HTTP/1.1 200 OK",
            b"X-Request-Id: " + (found.group(1) if found else b""),
            b"X-Engine-Incarnation: i",
            b"X-Weights-Version: 1",
        ]
        accepted.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + self._start)
        repeated = self._repeated * max(1, READ_BYTES // len(self._repeated))
        while True:
            accepted.sendall(repeated)

    def close(self):
        """Accept no more connections."""
        self._listener.close()


class Host:
    """A host as a process, with one runner and one service."""

    def __init__(self, upstream, stack):
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        tree = folder / "tree.toml"
        tree.write_text(
            RUNNER.format(
                key_hash=hash_key(KEY),
                runner=upstream.address,
                service=upstream.address,
            )
        )
        settings = folder / "host.toml"
        settings.write_text(SETTINGS.format(tree=tree))
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "rampwick_router",
                str(settings),
                "--log",
                str(folder / "log"),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        stack.callback(self._end)
        line = self._process.stdout.readline()
        self.entry = re.search(r"entry[ =:]+([0-9.]+:[0-9]+)", line).group(1)
        self.admin = re.search(r"admin[ =:]+([0-9.]+:[0-9]+)", line).group(1)

    def _end(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()

    @property
    def is_running(self):
        return self._process.poll() is None

    def peak_bytes(self):
        """Return the most memory that the process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * 1024

    def until_up(self):
        """Wait until the upstreams are known to be up."""
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            found = httpx.get(f"http://{self.admin}/status").json()["upstreams"]
            if all(item["belief"].startswith("up") for item in found):
                return
            time.sleep(0.05)
        raise TimeoutError(found)


class Callers:
    """Callers that each send one request after the other."""

    def __init__(self, address, request, *, reads):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._request = request
        self._reads = reads
        self.statuses = []
        self.is_over = False
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(CALLERS_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self.is_over:
            try:
                with socket.create_connection(self._address, 5.0) as opened:
                    opened.settimeout(1.0)
                    opened.sendall(self._request)
                    self._read(opened)
            except OSError:
                time.sleep(0.05)

    def _read(self, opened):
        data = b""
        while not self.is_over and self._reads is not None:
            try:
                received = opened.recv(self._reads)
            except TimeoutError:
                continue
            if not received:
                return
            data = data or received
            if data is received:
                self.statuses.append(int(data.split()[1]))
            if self._reads < READ_BYTES:
                time.sleep(0.1)
        while not self.is_over:
            time.sleep(0.1)

    def end(self):
        """Wait for the callers to end."""
        self.is_over = True
        for thread in self._threads:
            thread.join(10.0)


def chat(streamed):
    """Return a caller's request to a model."""
    body = orjson.dumps(
        {
            "model": "m",
            "stream": streamed,
            "messages": [{"role": "user", "content": "hello"}],
        }
    )
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        b"Authorization: Bearer a key\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body


SERVICE_CALL = (
    b"GET /services/labels/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer a key\r\n\r\n"
)

EVENT = b'data: {"choices":[{"delta":{"content":"some text"}}]}\n\n'
LONG_EVENT = b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % (b"a" * 9000)


class PeakMemoryTest(TestCase):
    def play(self, start, repeated, request, reads=READ_BYTES):
        """Return a host's peak memory beside answers without end."""
        with ExitStack() as stack:
            server = PouringServer(start, repeated)
            stack.callback(server.close)
            host = Host(server, stack)
            host.until_up()
            callers = Callers(host.entry, request, reads=reads)
            stack.callback(callers.end)
            deadline = time.monotonic() + PLAY_SECONDS
            while time.monotonic() < deadline and host.is_running:
                time.sleep(0.1)
                if host.peak_bytes() > GIVE_UP_BYTES:
                    break
            self.assertTrue(host.is_running)
            self.assertTrue(server.requests_count > 0)
            return host.peak_bytes()

    def assert_fits(self, *terms, **options):
        peak_bytes = self.play(*terms, **options)
        self.assertTrue(peak_bytes < HOST_BYTES, peak_bytes)

    def test_events_of_whole_answers(self):
        self.assert_fits(b"", EVENT, chat(streamed=False))

    def test_events_without_content_of_whole_answers(self):
        self.assert_fits(b"", b'data: {"choices":[]}\n\n', chat(streamed=False))

    def test_long_events_of_whole_answers(self):
        self.assert_fits(b"", LONG_EVENT, chat(streamed=False))

    def test_event_that_never_ends(self):
        self.assert_fits(b"data: ", b"a", chat(streamed=True))

    def test_slow_readers_of_streams(self):
        self.assert_fits(b"", LONG_EVENT, chat(streamed=True), reads=100)

    def test_callers_that_read_nothing(self):
        self.assert_fits(b"", LONG_EVENT, chat(streamed=True), reads=None)

    def test_slow_readers_of_a_service(self):
        self.assert_fits(b"", b"a", SERVICE_CALL, reads=100)
