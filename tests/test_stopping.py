"""A leaving upstream gets no work; a planned stop cuts nothing; a restart serves."""

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
    def leave(self):
        """Return which runner took each request sent after one was leaving."""

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

    def test_leaving_upstream_gets_no_new_work(self):
        self.assertEqual(0, self.leave())

    def test_table_that_ignores_the_state_is_caught(self):
        def is_leaving(self, upstream, now_seconds):
            return False

        with mock.patch.object(UpstreamTable, "is_leaving", is_leaving):
            self.assertNotEqual(0, self.leave())

    def test_host_cut_off_from_the_platform_hears_it_from_a_peer(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                for host in (one, two):
                    await host.until_ready("lektor-1", "lektor-2")
                    await until(lambda host=host: peers_of(host))
                # Cut only the second host off: its list stays as it was.
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

    def test_work_under_way_at_a_leaving_upstream_is_served_out(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.02)
            seen = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def ask():
                    seen.append(await host.stream("long", max_tokens=LENGTH))

                tasks.start_soon(ask)
                await until(lambda: runner.engine.started)
                bench.set_state("lektor-1", "leaving")
                await until(lambda: seen)
            return seen

        seen = self.run_scenario(scenario)
        self.assertTrue(seen[0].is_whole)


class BrokenApi:
    """A platform that can't be reached."""

    async def read_hosts(self):
        raise PlatformUnavailableError("cut off", step="read host list")


def peers_of(host):
    """Return the peers that a host hears."""
    return list(host.daemon.scheduler._scheduler.peers._views)


class PlannedStopTest(ScenarioCase):
    def test_stop_under_load_cuts_no_stream(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.02)
            seen = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def ask(prompt):
                    seen.append(await host.stream(prompt, max_tokens=LENGTH))

                sent = [f"open {number}" for number in range(6)]
                for prompt in sent:
                    tasks.start_soon(ask, prompt)
                await until(lambda: len(runner.engine.started) == len(sent))
                host.daemon.life.begin_stop()
                await host.daemon.stop()
                open_count = host.daemon.entry.open_count
                late = await host.stream("too late")
            return sent, seen, open_count, late

        sent, seen, open_count, late = self.run_scenario(scenario)
        self.assertEqual(0, open_count)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assert_holds(check_final_responses(seen, sent))
        self.assertTrue(all(saw.is_whole for saw in seen))
        self.assertEqual(("leaving", "no"), (late.error_code, late.was_run))

    def test_one_host_after_another_loses_nothing(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.005)
            seen, sent = [], []
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                hosts = [one, two]
                for host in hosts:
                    await host.until_ready("lektor-1")
                for leaving, staying in ((one, two), (two, one)):
                    async with anyio.create_task_group() as tasks:

                        async def ask(host, prompt):
                            seen.append(await host.stream(prompt, max_tokens=LENGTH))

                        for number in range(5):
                            prompt = f"{number} at {leaving.addresses.entry}"
                            sent.append(prompt)
                            tasks.start_soon(ask, leaving, prompt)
                        await until(lambda h=leaving: h.daemon.entry.open_count == 5)
                        leaving.daemon.life.begin_stop()
                        await leaving.daemon.stop()
                    if staying is two:
                        sent.append("at the other")
                        seen.append(await two.stream("at the other", max_tokens=LENGTH))
            return sent, seen

        sent, seen = self.run_scenario(scenario)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assert_holds(check_final_responses(seen, sent))
        self.assertTrue(all(saw.is_whole for saw in seen))

    def test_second_signal_ends_open_streams_with_a_word(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            seen = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def ask():
                    seen.append(await host.stream("endless", max_tokens=2000))

                tasks.start_soon(ask)
                await until(lambda: runner.engine.started)
                host.daemon.life.begin_stop()
                host.daemon.life.begin_stop()
                await host.daemon.stop()
                await until(lambda: seen)
            return seen

        seen = self.run_scenario(scenario)
        self.assertFalse(seen[0].is_whole)
        self.assertEqual("leaving", seen[0].error_code)


class RestartTest(ScenarioCase):
    def test_restarted_host_serves_from_its_peers_while_the_platform_is_down(self):
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

    def test_host_alone_serves_what_its_settings_name(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            address = bench.entries["lektor-1"].address
            bench.platform.set_faults(PlatformFaults(is_down=True))
            path = self.enterContext(fallback_file(address))
            extra = f'fallback_tree = "{path}"\n'
            async with bench.run_host(extra=extra) as host:
                await until(lambda: host.is_open_to("lektor-1"))
                saw = await host.stream("all alone")
                # The platform comes back with a newer tree and a real list.
                bench.platform.set_faults(PlatformFaults())
                await until(lambda: host.daemon.follower.source == "platform")
            return saw, runner.engine.started

        saw, started = self.run_scenario(scenario)
        self.assertTrue(saw.is_whole)
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
                        saw = await host.stream("after the herd")
                        sources.append(saw.is_whole)
            return sources

        self.assertEqual([True] * 6, self.run_scenario(scenario))


@contextmanager
def fallback_file(address):
    """Yield the path of a fallback with one workspace and one runner."""
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
    def test_new_life_comes_back_on_a_ramp(self):
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

    def test_old_life_comes_back_at_once(self):
        health = Health(0.05, 6.0)
        health.note_failure("reset", 10.0)
        health.note_probe(True, 10.3)
        self.assertEqual(1.0, health.admit_ratio(10.3))

    def test_failures_in_a_row_pause_for_longer(self):
        health = Health(0.05, 6.0)
        now_seconds, pauses = 0.0, []
        for _ in range(8):
            health.note_failure("reset", now_seconds)
            pauses.append(health.pause_seconds)
            now_seconds += health.pause_seconds
            health.note_probe(True, now_seconds)
            now_seconds += 0.1
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(8.0, pauses[-1])


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
    def test_older_news_never_override_newer(self):
        peers = Membership(1.0)
        self.assertTrue(peers.hear("a", "h", 5, summary(3), 0.0))
        self.assertFalse(peers.hear("a", "h", 5, summary(2), 0.1))
        self.assertFalse(peers.hear("a", "h", 4, summary(9), 0.1))
        self.assertTrue(peers.hear("a", "h", 6, summary(0), 0.1))

    def test_silent_peer_is_gone_and_its_load_with_it(self):
        peers = Membership(1.0)
        usage = UpstreamUsage("r", "life", 4, 100)
        peers.hear("a", "h", 1, summary(1, upstreams=[usage]), 0.0)
        self.assertEqual(4, peers.load_of("r", "life").running_count)
        self.assertEqual(["a"], [view.name for view in peers.expire(1.5)])
        self.assertEqual(0, peers.load_of("r", "life").running_count)
        self.assertFalse(peers.hears_anyone(1.5))

    def test_host_that_hears_nobody_keeps_to_its_part(self):
        peers = Membership(1.0)
        for name in "abc":
            peers.hear(name, "h", 1, summary(1), 0.0)
        self.assertEqual(1.0, peers.own_part_ratio(0.5))
        peers.expire(2.0)
        self.assertEqual(0.25, peers.own_part_ratio(2.0))

    def test_flapping_list_ends_with_its_newest_version(self):
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

    def test_two_hosts_of_a_hall_watch_and_a_lone_one_does(self):
        names = [f"entry-{number}" for number in range(6)]
        watching = []
        for name in names:
            others = [other for other in names if other != name]
            watching.append(is_watcher(name, others))
        self.assertEqual(2, sum(watching))
        self.assertTrue(is_watcher("alone", []))
