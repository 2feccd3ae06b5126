"""Draining upstreams, planned shutdown and restart of hosts, health, membership."""

import tempfile
from contextlib import contextmanager
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_platform import PlatformUnavailableError
from rampwick_policy import Health, HealthState, is_watcher
from rampwick_policy._membership import Membership
from rampwick_policy._upstreams import UpstreamTable
from rampwick_schema import (
    HostEntry,
    HostList,
    PlacementSettings,
    RetrySettings,
    Summary,
    UpstreamUsage,
)
from rampwick_standin import PlatformFaults

from .bench import KEY, hash_key, until
from .case import ScenarioCase
from .history import check_final_responses, check_responses

LENGTH = 10


class LeavingUpstreamTest(ScenarioCase):
    def count_new_requests(self):
        """Return how many requests a runner receives after its state is leaving."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1", "lektor-2")
                bench.set_state("lektor-1", "leaving")
                version = bench.platform.hosts.version
                await until(lambda: host.daemon._hosts.host_list.version >= version)
                before = len(bench.runners["lektor-1"].engine.started)
                for number in range(20):
                    await host.stream(f"after {number}")
                return len(bench.runners["lektor-1"].engine.started) - before

        return self.run_scenario(scenario)

    def test_leaving_upstream_receives_no_new_requests(self):
        self.assertEqual(0, self.count_new_requests())

    def test_table_that_ignores_the_state_is_detected(self):
        def is_draining(self, upstream, now_seconds):
            return False

        with mock.patch.object(UpstreamTable, "is_draining", is_draining):
            self.assertNotEqual(0, self.count_new_requests())

    def test_host_without_platform_receives_the_state_from_a_peer(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                for host in (one, two):
                    await host.until_ready("lektor-1", "lektor-2")
                    await until(lambda host=host: known_peers(host))
                # Only the second host loses the platform, so its list is not updated.
                source = two.daemon._hosts.source
                with mock.patch.object(source, "_api", BrokenApi()):
                    await until(lambda: two.daemon._hosts.problem)
                    bench.set_state("lektor-1", "leaving")
                    await until(
                        lambda: two.upstream("lektor-1").entry.state == "leaving"
                    )
                    before = len(bench.runners["lektor-1"].engine.started)
                    for number in range(10):
                        await two.stream(f"after {number}")
                    return len(bench.runners["lektor-1"].engine.started) - before

        self.assertEqual(0, self.run_scenario(scenario))

    def test_open_requests_at_a_leaving_upstream_complete(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.02)
            responses = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def send_request():
                    responses.append(await host.stream("long", max_tokens=LENGTH))

                tasks.start_soon(send_request)
                await until(lambda: runner.engine.started)
                bench.set_state("lektor-1", "leaving")
                await until(lambda: responses)
            return responses

        responses = self.run_scenario(scenario)
        self.assertTrue(responses[0].is_whole)


class BrokenApi:
    """A platform that can't be reached."""

    async def read_hosts(self):
        raise PlatformUnavailableError("cut off", step="read host list")


def known_peers(host):
    """Return the peers whose state a host has received."""
    return list(host.daemon.scheduler._scheduler.peers._views)


class PlannedStopTest(ScenarioCase):
    def test_shutdown_under_load_truncates_no_stream(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.02)
            responses = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def send_request(prompt):
                    responses.append(await host.stream(prompt, max_tokens=LENGTH))

                sent = [f"open {number}" for number in range(6)]
                for prompt in sent:
                    tasks.start_soon(send_request, prompt)
                await until(lambda: len(runner.engine.started) == len(sent))
                host.daemon.lifecycle.begin_stop()
                await host.daemon.stop()
                open_count = host.daemon.entry.open_count
                late = await host.stream("too late")
            return sent, responses, open_count, late

        sent, responses, open_count, late = self.run_scenario(scenario)
        self.assertEqual(0, open_count)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assert_holds(check_final_responses(responses, sent))
        self.assertTrue(all(response.is_whole for response in responses))
        self.assertEqual(("leaving", "no"), (late.error_code, late.was_run))

    def test_rolling_shutdown_loses_no_request(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.005)
            responses, sent = [], []
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                hosts = [one, two]
                for host in hosts:
                    await host.until_ready("lektor-1")
                for leaving, staying in ((one, two), (two, one)):
                    async with anyio.create_task_group() as tasks:

                        async def send_request(host, prompt):
                            responses.append(
                                await host.stream(prompt, max_tokens=LENGTH)
                            )

                        for number in range(5):
                            prompt = f"{number} at {leaving.addresses.entry}"
                            sent.append(prompt)
                            tasks.start_soon(send_request, leaving, prompt)
                        await until(lambda h=leaving: h.daemon.entry.open_count == 5)
                        leaving.daemon.lifecycle.begin_stop()
                        await leaving.daemon.stop()
                    if staying is two:
                        sent.append("at the other")
                        responses.append(
                            await two.stream("at the other", max_tokens=LENGTH)
                        )
            return sent, responses

        sent, responses = self.run_scenario(scenario)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assert_holds(check_final_responses(responses, sent))
        self.assertTrue(all(response.is_whole for response in responses))

    def test_second_signal_ends_open_streams_with_an_error_event(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            responses = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def send_request():
                    responses.append(await host.stream("endless", max_tokens=2000))

                tasks.start_soon(send_request)
                await until(lambda: runner.engine.started)
                host.daemon.lifecycle.begin_stop()
                host.daemon.lifecycle.begin_stop()
                await host.daemon.stop()
                await until(lambda: responses)
            return responses

        responses = self.run_scenario(scenario)
        self.assertFalse(responses[0].is_whole)
        self.assertEqual("leaving", responses[0].error_code)


class RestartTest(ScenarioCase):
    def test_restarted_host_gets_its_state_from_peers_while_the_platform_is_down(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host("entry-1") as one:
                await one.until_ready("lektor-1")
                bench.platform.set_faults(PlatformFaults(is_down=True))
                seeds = (one.addresses.peer,)
                async with bench.run_host("entry-2", seeds=seeds) as two:
                    await until(lambda: two.daemon.follower.revision == 1)
                    self.assertEqual("peer", two.daemon.follower.source)
                    await two.until_ready("lektor-1")
                    return await two.stream("while the platform is down")

        self.assertTrue(self.run_scenario(scenario).is_whole)

    def test_isolated_host_serves_from_the_fallback_file(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            address = bench.entries["lektor-1"].address
            bench.platform.set_faults(PlatformFaults(is_down=True))
            path = self.enterContext(fallback_file(address))
            extra = f'fallback_tree = "{path}"\n'
            async with bench.run_host(extra=extra) as host:
                await until(lambda: host.is_available("lektor-1"))
                response = await host.stream("all alone")
                # The platform recovers and provides a newer tree and host list.
                bench.platform.set_faults(PlatformFaults())
                await until(lambda: host.daemon.follower.source == "platform")
            return response, runner.engine.started

        response, started = self.run_scenario(scenario)
        self.assertTrue(response.is_whole)
        self.assertEqual(1, len(started))

    def test_all_hosts_restart_at_once(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            sources = []
            for _ in range(2):
                async with (
                    bench.run_host("entry-1") as one,
                    bench.run_host("entry-2") as two,
                    bench.run_host("entry-3") as three,
                ):
                    for host in (one, two, three):
                        await host.until_ready("lektor-1")
                        response = await host.stream("after the restart")
                        sources.append(response.is_whole)
            return sources

        self.assertEqual([True] * 6, self.run_scenario(scenario))


@contextmanager
def fallback_file(address):
    """Yield the path of a fallback file with one workspace and one runner."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(
            f"""
[nodes."/herbaria"]
[nodes."/herbaria/labels"]
is_workspace = true
key_hashes = ["{hash_key(KEY)}"]
[[hosts]]
name = "lektor-1"
kind = "runner"
hall = "trnava"
address = "{address}"
"""
        )
        file.flush()
        yield file.name


class HealthTest(TestCase):
    def test_new_incarnation_recovers_gradually(self):
        health = Health(0.05, 6.0)
        health.note_failure("reset", 10.0)
        self.assertEqual(0.0, health.admit_ratio(10.1))
        health.note_probe(False, 10.1)
        self.assertIs(HealthState.DOWN, health.state)
        health.note_probe(False, 10.3)
        ratios = [health.admit_ratio(10.3 + step) for step in range(7)]
        self.assertEqual(sorted(ratios), ratios)
        self.assertAlmostEqual(0.05, ratios[0])
        self.assertEqual(1.0, ratios[-1])

    def test_unchanged_incarnation_recovers_immediately(self):
        health = Health(0.05, 6.0)
        health.note_failure("reset", 10.0)
        health.note_probe(True, 10.3)
        self.assertEqual(1.0, health.admit_ratio(10.3))

    def test_consecutive_failures_increase_the_backoff(self):
        health = Health(0.05, 6.0)
        now_seconds, backoffs = 0.0, []
        for _ in range(8):
            health.note_failure("reset", now_seconds)
            backoffs.append(health.backoff_seconds)
            now_seconds += health.backoff_seconds
            health.note_probe(True, now_seconds)
            now_seconds += 0.1
        self.assertEqual(sorted(backoffs), backoffs)
        self.assertEqual(8.0, backoffs[-1])


def summary(sequence, **fields):
    values = {
        "revision": 0,
        "is_leaving": False,
        "workspaces": [],
        "upstreams": [],
        "placed": [],
        "host_list_version": 0,
        **fields,
    }
    return Summary(sequence=sequence, **values)


class MembershipTest(TestCase):
    def test_older_summary_never_replaces_a_newer_one(self):
        peers = Membership(1.0)
        self.assertTrue(peers.receive_summary("a", "h", 5, summary(3), 0.0))
        self.assertFalse(peers.receive_summary("a", "h", 5, summary(2), 0.1))
        self.assertFalse(peers.receive_summary("a", "h", 4, summary(9), 0.1))
        self.assertTrue(peers.receive_summary("a", "h", 6, summary(0), 0.1))

    def test_unresponsive_peer_expires_with_its_load(self):
        peers = Membership(1.0)
        usage = UpstreamUsage("r", "life", 4, 100)
        peers.receive_summary("a", "h", 1, summary(1, upstreams=[usage]), 0.0)
        self.assertEqual(4, peers.load_of("r", "life").running_count)
        self.assertEqual(["a"], [view.name for view in peers.expire(1.5)])
        self.assertEqual(0, peers.load_of("r", "life").running_count)
        self.assertFalse(peers.has_live_peers(1.5))

    def test_isolated_host_limits_itself_to_its_share(self):
        peers = Membership(1.0)
        for name in "abc":
            peers.receive_summary(name, "h", 1, summary(1), 0.0)
        self.assertEqual(1.0, peers.own_share_ratio(0.5))
        peers.expire(2.0)
        self.assertEqual(0.25, peers.own_share_ratio(2.0))

    def test_newest_version_of_a_flapping_host_list_wins(self):
        table = UpstreamTable("h", RetrySettings(), PlacementSettings(), 1.0)
        states = ["live", "leaving", "live", "leaving"]
        lists = [
            HostList(version, [HostEntry("r", "service", "h", "a:1", state)])
            for version, state in enumerate(states)
        ]
        for host_list in (lists[3], lists[0], lists[2], lists[1]):
            table.apply_list(host_list, 0.0)
        found = table.get("r")
        assert found is not None
        self.assertEqual("leaving", found.entry.state)

    def test_two_hosts_of_a_hall_are_watchers_and_so_is_a_single_one(self):
        names = [f"entry-{number}" for number in range(6)]
        watchers = []
        for name in names:
            others = [other for other in names if other != name]
            watchers.append(is_watcher(name, others))
        self.assertEqual(2, sum(watchers))
        self.assertTrue(is_watcher("alone", []))
