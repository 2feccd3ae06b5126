"""Guards against requests within the pause that an upstream's refusal asked for."""

from testtools import TestCase

from rampwick_policy import AttemptFailed, Dispatch, Outcome, Tick

from .test_scheduler import Session

#: Pause asked for.
PAUSE_SECONDS = 3.0


class RequestedPauseTest(TestCase):
    def refuse(self, session, at, request_id, attempt=1, pause=PAUSE_SECONDS):
        """Have a runner refuse an attempt, and ask for a pause."""
        failed = AttemptFailed(
            request_id,
            f"{request_id}.{attempt}",
            Outcome.BUSY,
            "status 503",
            retry_after_seconds=pause,
        )
        return session.do(at, failed)

    def test_no_request_goes_out_before_it_is_over(self):
        session = Session(runners=2, slots=64)
        (first,) = session.arrive(1.0, "r0")
        # The other runner takes it over.
        (second,) = self.refuse(session, 1.01, "r0")
        self.assertNotEqual(first.upstream, second.upstream)
        sent = []
        for number in range(1, 40):
            at = 1.01 + number * 0.1
            for action in session.arrive(at, f"r{number}", text=f"{number} " * 200):
                if isinstance(action, Dispatch) and action.upstream == first.upstream:
                    sent.append(at)
            session.done(at + 0.01, f"r{number}")
        early = [at for at in sent if at < 1.01 + PAUSE_SECONDS]
        self.assertEqual([], early)
        self.assertGreater(len(sent), 0)

    def test_a_refusal_that_names_no_time_does_not_shorten_it(self):
        session = Session(runners=1, slots=64)
        session.arrive(1.0, "r0")
        session.arrive(1.0, "r1", text="another prompt " * 80)
        self.refuse(session, 1.01, "r0")
        self.refuse(session, 1.02, "r1", pause=None)
        sent = [
            at
            for at in (1.5, 2.1, 3.0, 4.0)
            for action in session.do(at, Tick())
            if isinstance(action, Dispatch)
        ]
        self.assertEqual([], sent)
