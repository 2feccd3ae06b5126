"""Signals, reload of settings, and non-blocking logs."""

import os
import signal
import tempfile
from pathlib import Path

import anyio
import orjson
from testtools import TestCase

from rampwick_router import run_host
from rampwick_router._log_sink import MAX_BUFFERED_BYTES, LogSink, open_log
from rampwick_router._logs import BURST_LINES, LineTokenBucket

from .bench import until

SETTINGS = """
[host]
name = "entry-1"
hall = "trnava"
[life]
balancer_delay_seconds = 0.0
[peers]
seeds = [{seeds}]
"""


class SignalTest(TestCase):
    def run_with_signals(self, *texts):
        """Run a host, reload each text as its settings and return its log lines."""
        folder = Path(self.make_folder())
        path, log_path = folder / "host.toml", folder / "log"
        path.write_text(SETTINGS.format(seeds=""))

        def lines():
            return [orjson.loads(line) for line in log_path.read_bytes().splitlines()]

        async def drive():
            await until(lambda: any("started" in item["message"] for item in lines()))
            for count, text in enumerate(texts, start=1):
                path.write_text(text)
                signal.raise_signal(signal.SIGHUP)
                await until(
                    lambda count=count: (
                        sum("reloaded" in item["message"] for item in lines()) == count
                    )
                )
            signal.raise_signal(signal.SIGTERM)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(drive)
                await run_host(path)

        with open_log(log_path):
            anyio.run(main)
        return lines()

    def make_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_sighup_reloads_settings(self):
        # Without a handler, the default action of SIGHUP ends the process.
        changed = SETTINGS.format(seeds='"127.0.0.1:1"')
        lines = self.run_with_signals(changed, "nonsense")
        reloads = [item for item in lines if "reloaded" in item["message"]]
        self.assertEqual(["peers"], reloads[0]["changed"])
        self.assertEqual("problem", reloads[1]["level"])
        last = [item["message"] for item in lines[-2:]]
        self.assertEqual(["life: stopped", "entry: listener closed"], last)


class LogSinkTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.sink = LogSink(self.writer)

    def read_all(self):
        data = b""
        while True:
            try:
                part = os.read(self.reader, 65536)
            except BlockingIOError:
                return data
            data += part

    def test_full_pipe_does_not_block_and_dropped_lines_are_counted(self):
        self.addCleanup(os.close, self.writer)
        message = {"message": "x" * 1000}
        for _ in range(2 * MAX_BUFFERED_BYTES // 1000):
            self.sink(message)
        dropped_count = self.sink.dropped_count
        self.assertGreater(dropped_count, 0)
        data = b""
        while part := self.read_all():
            data += part
            self.sink.flush()
        self.sink({"message": "after"})
        lines = (data + self.read_all()).splitlines()
        last = orjson.loads(lines[-1])
        self.assertEqual(
            ("after", dropped_count), (last["message"], last["left_out_lines_count"])
        )
        for line in lines:
            orjson.loads(line)

    def test_closed_reader_is_not_an_error(self):
        os.close(self.writer)
        self.sink({"message": "nobody reads"})
        self.assertEqual(0, self.sink._buffered_bytes)


class LineTokenBucketTest(TestCase):
    def test_lines_of_one_message_are_limited_and_dropped_ones_counted(self):
        bucket = LineTokenBucket(at_seconds=10.0)
        written_count = sum(bucket.take(10.0) for _ in range(1000))
        self.assertEqual(BURST_LINES, written_count)
        self.assertEqual(1000 - BURST_LINES, bucket.dropped_count)
        self.assertTrue(bucket.take(11.0))
