"""Tests of shutdown announcements and requested pauses in response headers."""

import anyio
from testtools import TestCase

from rampwick_adapter._requests import UpstreamTranslation
from rampwick_policy import UpstreamSignalled
from rampwick_router import ResponseHead, UpstreamSignals, read_signals

from .scripted import run_routed

TEST_TIMEOUT_SECONDS = 30.0

LEAVING = b"rampwick-leaving"


def signals(*headers, status=200):
    return read_signals(ResponseHead(status, headers), LEAVING)


class ReadSignalsTest(TestCase):
    def pause(self, *values, status=503):
        headers = [(b"Retry-After", value) for value in values]
        return signals(*headers, status=status).pause_seconds

    def test_a_pause_is_a_short_decimal_number(self):
        for value, seconds in {
            b"0": 0.0,
            b"0.05": 0.05,
            b" 3 ": 3.0,
            b"3600": 3600.0,
            b"999999999999": 999999999999.0,
        }.items():
            self.assertEqual(seconds, self.pause(value))

    def test_any_other_value_requests_no_pause(self):
        for value in (
            b"1e9",
            b"-1",
            b"nan",
            b"inf",
            b"",
            b"3 s",
            b"9" * 4096,
            b"Thu, 03 Dec 2026 08:00:00 GMT",
        ):
            self.assertIs(None, self.pause(value))
        self.assertIs(None, self.pause())

    def test_the_longest_of_several_pauses_applies(self):
        self.assertEqual(3.0, self.pause(b"0.5", b"3", b"soon"))

    def test_only_overload_statuses_request_a_pause(self):
        for status, seconds in {429: 3.0, 503: 3.0, 200: None, 301: None}.items():
            self.assertEqual(seconds, self.pause(b"3", status=status))

    def test_any_value_but_zero_announces_a_shutdown(self):
        for value, is_leaving in {b"1": True, b"true": True, b"0": False}.items():
            found = signals((b"Rampwick-Leaving", value))
            self.assertEqual(is_leaving, found.is_leaving)
        self.assertFalse(signals())
        both = signals((LEAVING, b"0"), (LEAVING, b"1"))
        self.assertTrue(both.is_leaving)

    def test_the_adapter_reads_the_headers_of_the_platform(self):
        head = ResponseHead(503, [(b"Server-Leaving", b"1"), (b"Retry-After", b"3")])
        facts = UpstreamTranslation().read_response(head, "i-1")
        self.assertEqual(UpstreamSignals(True, 3.0), facts.signals)


class ResponsesTest(TestCase):
    """Signals that a host accepts from scripted upstream responses."""

    def posted(self, extra, **options):
        """Return the signals that a host accepts from one response."""

        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a"]}) as (host, found):

                    async def answer(exchange):
                        await exchange.answer(b"done", extra=extra, **options)

                    found["a"].scripts = [answer]
                    events = []
                    scheduler = host.daemon.scheduler
                    post = scheduler.post
                    scheduler.post = lambda event: events.append(event) or post(event)
                    await host.call("/once/1")
                    return [
                        (event.is_leaving, event.pause_seconds)
                        for event in events
                        if isinstance(event, UpstreamSignalled)
                    ]

        return anyio.run(main)

    def test_a_response_counts_with_any_status(self):
        for status in (200, 404, 500):
            seen = self.posted(b"Rampwick-Leaving: 1", status=status)
            self.assertEqual([(True, None)], seen)
        self.assertEqual([(False, 3.0)], self.posted(b"Retry-After: 3", status=503))

    def test_a_response_to_another_request_is_ignored(self):
        crossed = self.posted(b"Rampwick-Leaving: 1", request_id="another")
        self.assertEqual([], crossed)
