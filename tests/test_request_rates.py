"""What upstreams say of the requests that they take, and which word holds."""

import anyio
from testtools import TestCase

from rampwick_policy._notices import NoticeBook
from rampwick_policy._request_rates import STALE_SECONDS, RateObservation, RequestRates

from .scripted import run_routed

TEST_TIMEOUT_SECONDS = 30.0


class WordsTest(TestCase):
    """Answers overtake each other; what is believed is what was surely said last."""

    def setUp(self):
        super().setUp()
        self.notices = NoticeBook()
        self.rates = RequestRates(self.notices)

    def take(self, rate, asked, heard, life="1"):
        return self.rates.take("u", RateObservation(life, rate, asked, heard), "test")

    def rate(self, now, life="1"):
        return self.rates.rate("u", life, now)

    def test_a_rate_holds_until_a_later_answer_names_none(self):
        self.assertTrue(self.take(1.8, 0.9, 1.0))
        self.assertEqual(1.8, self.rate(1.0))
        self.assertTrue(self.take(None, 1.1, 1.2))
        self.assertIs(None, self.rate(1.2))

    def test_an_answer_asked_for_before_the_rate_was_named_does_not_end_it(self):
        self.take(1.8, 0.9, 1.0)
        self.assertFalse(self.take(None, 0.5, 1.3))
        self.assertEqual(1.8, self.rate(1.3))

    def test_an_older_answer_that_comes_later_does_not_bring_it_back(self):
        self.take(1.8, 0.9, 1.0)
        self.take(None, 1.1, 1.2)
        self.assertFalse(self.take(1.8, 0.2, 1.5))
        self.assertIs(None, self.rate(1.5))
        self.assertTrue(self.take(0.4, 1.3, 1.6))
        self.assertEqual(0.4, self.rate(1.6))

    def test_of_two_rates_the_one_heard_last_holds(self):
        self.take(1.8, 0.9, 1.0)
        self.assertTrue(self.take(0.5, 0.1, 1.1))
        self.assertFalse(self.take(1.8, 0.9, 1.0))
        self.assertEqual(0.5, self.rate(1.1))

    def test_another_life_has_named_nothing(self):
        self.take(1.8, 0.9, 1.0)
        self.assertIs(None, self.rate(1.0, life="2"))
        self.assertFalse(self.take(None, 0.1, 1.1, life="2"))
        self.assertTrue(self.take(3.0, 0.1, 1.2, life="2"))

    def test_what_nobody_confirms_holds_for_a_while_only(self):
        self.take(1.8, 0.9, 1.0)
        self.assertEqual(1.8, self.rate(1.0 + STALE_SECONDS))
        self.assertIs(None, self.rate(1.1 + STALE_SECONDS))

    def test_what_has_not_held_for_long_is_forgotten(self):
        self.take(1.8, 0.9, 1.0)
        self.rates.sweep(1.0 + 2.0 * STALE_SECONDS)
        self.assertTrue(self.rates.knows("u"))
        self.rates.sweep(1.1 + 2.0 * STALE_SECONDS)
        self.assertFalse(self.rates.knows("u"))
        self.assertEqual(0, len(self.rates))

    def test_operators_are_told_of_its_begin_change_and_end(self):
        for rate, at in ((1.8, 1.0), (1.8, 2.0), (0.5, 3.0), (None, 4.0)):
            self.take(rate, at, at)
        self.assertEqual(
            [
                "limited to 1.8 requests a second",
                "limited to 0.5 requests a second",
                "open",
            ],
            [notice.after for notice in self.notices.take()],
        )


class AnswersTest(TestCase):
    """Which answers count, read by a host from upstreams whose bytes are chosen."""

    def believed(self, *scripts):
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
    def naming(rate, status=200, **options):
        async def answer(exchange):
            extra = b"Rampwick-Request-Rate: " + rate if rate else b""
            await exchange.answer(b"done", status, extra, **options)

        return answer

    def test_an_answer_of_its_own_names_a_rate_and_ends_it(self):
        self.assertEqual(20.0, self.believed(self.naming(b"20")))
        self.assertEqual(20.0, self.believed(self.naming(b"20", 500)))
        names, ends = self.naming(b"20"), self.naming(b"")
        self.assertIs(None, self.believed(names, ends))
        self.assertEqual(20.0, self.believed(names, ends, names))

    def test_an_answer_to_another_request_names_none(self):
        crossed = self.naming(b"20", request_id="another")
        self.assertIs(None, self.believed(crossed))

    def test_what_can_not_be_read_neither_names_nor_ends_one(self):
        self.assertIs(None, self.believed(self.naming(b"-1")))
        both = self.naming(b"20"), self.naming(b"nan")
        self.assertEqual(20.0, self.believed(*both))

    def test_an_answer_without_proof_does_not_end_one(self):
        names = self.naming(b"20")
        self.assertEqual(20.0, self.believed(names, self.naming(b"", signed=False)))
