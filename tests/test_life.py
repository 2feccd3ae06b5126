"""Signals, settings that are read again, and logs that hold nobody up."""

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
        """Run a host, write each text and signal it; return its log lines."""
        folder = Path(self.useFixture_folder())
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

    def useFixture_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_a_hangup_reloads_and_does_not_end_the_host(self):
        # Found by a hunt: the signal's default ended the process.
        changed = SETTINGS.format(seeds='"127.0.0.1:1"')
        lines = self.run_with_signals(changed, "nonsense")
        reloads = [item for item in lines if "reloaded" in item["message"]]
        self.assertEqual(["peers"], reloads[0]["changed"])
        self.assertEqual("problem", reloads[1]["level"])
        self.assertIn("left", lines[-1]["message"])


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

    def test_a_full_pipe_holds_nobody_up_and_what_is_left_out_is_counted(self):
        self.addCleanup(os.close, self.writer)
        message = {"message": "x" * 1000}
        for _ in range(2 * MAX_BUFFERED_BYTES // 1000):
            self.sink(message)
        left_out = self.sink.dropped_count
        self.assertGreater(left_out, 0)
        data = b""
        while part := self.read_all():
            data += part
            self.sink.flush()
        self.sink({"message": "after"})
        lines = (data + self.read_all()).splitlines()
        last = orjson.loads(lines[-1])
        self.assertEqual(
            ("after", left_out), (last["message"], last["left_out_lines_count"])
        )
        for line in lines:
            orjson.loads(line)

    def test_a_reader_that_went_away_is_no_error(self):
        os.close(self.writer)
        self.sink({"message": "nobody reads"})
        self.assertEqual(0, self.sink._buffered_bytes)


class LineBudgetTest(TestCase):
    def test_a_storm_of_one_sentence_is_bounded_and_counted(self):
        bucket = LineTokenBucket(at_seconds=10.0)
        sent = sum(bucket.take(10.0) for _ in range(1000))
        self.assertEqual(BURST_LINES, sent)
        self.assertEqual(1000 - BURST_LINES, bucket.dropped_count)
        self.assertTrue(bucket.take(11.0))
