"""A stop that waited for the release of its lease until the process was killed."""

import anyio
import attrs
from testtools import TestCase

from .test_requests_taken_while_leaving import find, run_logged

TIMEOUT_SECONDS = 5.0
DELAY_SECONDS = 2.0
RELEASE_SECONDS = 0.2


class SilentStoreTest(TestCase):
    """A stop keeps to its times whatever the store does."""

    def test_stop_whose_lease_is_never_released_ends_before_the_kill(self):
        async def scenario(host, servers):
            daemon = host.daemon
            daemon.rollout_controller.retire = anyio.sleep_forever
            daemon.request_stop()
            with anyio.move_on_after(TIMEOUT_SECONDS):
                await daemon.stop()
            return daemon.lifecycle.has_drained

        has_drained, lines = run_logged(scenario, life="stop_within_seconds = 1.5")
        self.assertTrue(has_drained)
        self.assertEqual(1, len(find(lines, "lease not released in time")))

    def test_forced_stop_does_not_wait_for_the_release(self):
        async def scenario(host, servers):
            daemon = host.daemon
            releasing, stopped = anyio.Event(), anyio.Event()

            async def retire():
                releasing.set()
                await anyio.sleep_forever()

            async def stop():
                await daemon.stop()
                stopped.set()

            daemon.rollout_controller.retire = retire
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop)
                daemon.request_stop()
                await releasing.wait()
                daemon.request_stop(is_urgent=True)
                with anyio.move_on_after(TIMEOUT_SECONDS):
                    await stopped.wait()
                tasks.cancel_scope.cancel()
            return stopped.is_set()

        has_stopped, _ = run_logged(scenario)
        self.assertTrue(has_stopped)

    def test_peers_and_balancer_do_not_wait_for_the_release(self):
        async def scenario(host, servers):
            daemon = host.daemon
            life = attrs.evolve(
                daemon._settings.life, balancer_delay_seconds=DELAY_SECONDS
            )
            daemon._settings = attrs.evolve(daemon._settings, life=life)
            steps, delays_seconds = [], []

            async def retire():
                steps.append("release")
                await anyio.sleep(RELEASE_SECONDS)

            async def pause(seconds):
                delays_seconds.append(seconds)

            daemon.rollout_controller.retire = retire
            daemon._gossip.summaries.publish_own = lambda: steps.append("publish")
            daemon.lifecycle.pause = pause
            daemon.request_stop()
            await daemon.stop()
            return steps, delays_seconds

        (steps, [delay_seconds]), _ = run_logged(scenario)
        self.assertEqual(["publish", "release"], steps)
        self.assertLessEqual(delay_seconds, DELAY_SECONDS - RELEASE_SECONDS)
