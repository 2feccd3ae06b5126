"""Guards against complete answers without a body, which the HTTP server would send."""

from unittest import mock

import anyio
import httpx

from rampwick_platform import ClaimStore
from rampwick_router._caller_sockets import CallerSocket
from rampwick_router.entry._claims import ClaimTask
from rampwick_router.entry._relay import Relay

from .bench import TEST_TIMEOUT_SECONDS, send_stream, until
from .case import ScenarioCase

SHORT_DRAIN = "drain_timeout_seconds = 0.2\n"


def stalled_claims():
    """Have the store answer no claim."""
    return mock.patch.object(ClaimStore, "claim", lambda *_: anyio.sleep_forever())


def broken_claims():
    """Have claims fail with an error that nothing expects."""
    return mock.patch.object(ClaimTask, "claim", side_effect=ValueError("unexpected"))


def caller_believed_gone():
    """Have hosts take all callers for gone."""
    return mock.patch.object(CallerSocket, "has_left", return_value=True)


async def drain(host):
    """Shut a host down, with the wait for its open requests."""
    host.daemon.lifecycle.begin_stop()
    await host.daemon.stop()


async def end_at_once(_):
    """End a host without a planned shutdown."""
    return


class EmptyAnswerTest(ScenarioCase):
    """A request gets an error that says whether it ran, or its connection is cut."""

    def send_keyed(self, fault, end):
        """Send a request during a fault and end its host; return the response."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            got = []

            async def send(address):
                async with httpx.AsyncClient(
                    base_url=f"http://{address}",
                    timeout=TEST_TIMEOUT_SECONDS,
                    trust_env=False,
                ) as client:
                    headers = {"Idempotency-Key": "k"}
                    try:
                        got.append(await send_stream(client, "p", headers=headers))
                    except httpx.HTTPError as error:
                        got.append(error)

            with fault():
                async with anyio.create_task_group() as tasks:
                    async with bench.run_host(extra=SHORT_DRAIN) as host:
                        await host.until_ready("lektor-1")
                        tasks.start_soon(send, host.addresses.entry)
                        await until(lambda: host.daemon.entry.open_count or got)
                        await end(host)
                    await until(lambda: got)
            return got[0]

        return self.run_scenario(scenario)

    def test_request_that_outlasts_the_drain(self):
        response = self.send_keyed(stalled_claims, drain)
        self.assertEqual(("leaving", "no"), (response.error_code, response.was_run))

    def test_request_at_a_host_that_ends_at_once(self):
        response = self.send_keyed(stalled_claims, end_at_once)
        self.assertEqual((503, "no"), (response.status, response.was_run))

    def test_request_during_an_unexpected_error(self):
        response = self.send_keyed(broken_claims, drain)
        self.assertEqual("internal", response.error_code)

    def test_request_that_an_unexpected_error_ends_on_its_way_may_have_run(self):
        error = ValueError("unexpected")
        response = self.send_keyed(
            lambda: mock.patch.object(Relay, "run", side_effect=error), drain
        )
        self.assertEqual(("internal", "maybe"), (response.error_code, response.was_run))

    def test_request_whose_caller_is_believed_gone(self):
        response = self.send_keyed(caller_believed_gone, drain)
        self.assertEqual((503, "no"), (response.status, response.was_run))
