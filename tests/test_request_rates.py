"""Request rates announced by upstreams, and which observation applies."""

import anyio
from testtools import TestCase

from rampwick_policy._request_rates import STALE_SECONDS, RateObservation, RequestRates
from rampwick_policy._state_changes import StateChangeTracker

from .scripted import run_routed

TEST_TIMEOUT_SECONDS = 30.0


class ObservationTest(TestCase):
    """Responses may be reordered; the observation that is certainly newest applies."""

    def setUp(self):
        super().setUp()
        self.state_changes = StateChangeTracker()
        self.rates = RequestRates(self.state_changes)

    def record(self, rate, sent, received, incarnation="1"):
        return self.rates.record(
            "u", RateObservation(incarnation, rate, sent, received), "test"
        )

    def rate(self, now, incarnation="1"):
        return self.rates.rate("u", incarnation, now)

    def test_a_rate_applies_until_a_later_response_has_none(self):
        self.assertTrue(self.record(1.8, 0.9, 1.0))
        self.assertEqual(1.8, self.rate(1.0))
        self.assertTrue(self.record(None, 1.1, 1.2))
        self.assertIs(None, self.rate(1.2))

    def test_a_response_to_an_earlier_request_does_not_end_a_rate(self):
        self.record(1.8, 0.9, 1.0)
        self.assertFalse(self.record(None, 0.5, 1.3))
        self.assertEqual(1.8, self.rate(1.3))

    def test_a_late_older_response_does_not_restore_an_ended_rate(self):
        self.record(1.8, 0.9, 1.0)
        self.record(None, 1.1, 1.2)
        self.assertFalse(self.record(1.8, 0.2, 1.5))
        self.assertIs(None, self.rate(1.5))
        self.assertTrue(self.record(0.4, 1.3, 1.6))
        self.assertEqual(0.4, self.rate(1.6))

    def test_of_two_rates_the_one_that_arrived_last_applies(self):
        self.record(1.8, 0.9, 1.0)
        self.assertTrue(self.record(0.5, 0.1, 1.1))
        self.assertFalse(self.record(1.8, 0.9, 1.0))
        self.assertEqual(0.5, self.rate(1.1))

    def test_another_incarnation_has_no_rate(self):
        self.record(1.8, 0.9, 1.0)
        self.assertIs(None, self.rate(1.0, incarnation="2"))
        self.assertFalse(self.record(None, 0.1, 1.1, incarnation="2"))
        self.assertTrue(self.record(3.0, 0.1, 1.2, incarnation="2"))

    def test_an_unconfirmed_rate_expires(self):
        self.record(1.8, 0.9, 1.0)
        self.assertEqual(1.8, self.rate(1.0 + STALE_SECONDS))
        self.assertIs(None, self.rate(1.1 + STALE_SECONDS))

    def test_an_expired_rate_is_dropped(self):
        self.record(1.8, 0.9, 1.0)
        self.rates.sweep(1.0 + 2.0 * STALE_SECONDS)
        self.assertTrue(self.rates.has_observation("u"))
        self.rates.sweep(1.1 + 2.0 * STALE_SECONDS)
        self.assertFalse(self.rates.has_observation("u"))
        self.assertEqual(0, len(self.rates))

    def test_start_change_and_end_of_a_rate_are_state_changes(self):
        for rate, at in ((1.8, 1.0), (1.8, 2.0), (0.5, 3.0), (None, 4.0)):
            self.record(rate, at, at)
        self.assertEqual(
            [
                "limited to 1.8 requests per second",
                "limited to 0.5 requests per second",
                "open",
            ],
            [change.after for change in self.state_changes.take()],
        )


class ResponsesTest(TestCase):
    """Responses with chosen bytes, and whether a host applies the rate in them."""

    def applied_rate(self, *scripts):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a"]}) as (host, found):
                    found["a"].scripts = list(scripts)
                    for number, _ in enumerate(scripts):
                        await host.call("/once/1", request_id=f"r{number}")
                    scheduler = host.daemon.scheduler
                    return scheduler.run_query(
                        lambda scheduler, now: scheduler.pool.rates.rate("a", "", now)
                    )

        return anyio.run(main)

    @staticmethod
    def announcing(rate, status=200, **options):
        async def answer(exchange):
            extra = b"Rampwick-Request-Rate: " + rate if rate else b""
            await exchange.answer(b"done", status, extra, **options)

        return answer

    def test_a_response_starts_and_ends_a_rate(self):
        self.assertEqual(20.0, self.applied_rate(self.announcing(b"20")))
        self.assertEqual(20.0, self.applied_rate(self.announcing(b"20", 500)))
        names, ends = self.announcing(b"20"), self.announcing(b"")
        self.assertIs(None, self.applied_rate(names, ends))
        self.assertEqual(20.0, self.applied_rate(names, ends, names))

    def test_a_response_to_another_request_is_ignored(self):
        crossed = self.announcing(b"20", request_id="another")
        self.assertIs(None, self.applied_rate(crossed))

    def test_an_invalid_rate_neither_starts_nor_ends_one(self):
        self.assertIs(None, self.applied_rate(self.announcing(b"-1")))
        both = self.announcing(b"20"), self.announcing(b"nan")
        self.assertEqual(20.0, self.applied_rate(*both))

    def test_a_response_without_proof_does_not_end_a_rate(self):
        names = self.announcing(b"20")
        self.assertEqual(
            20.0, self.applied_rate(names, self.announcing(b"", signed=False))
        )
