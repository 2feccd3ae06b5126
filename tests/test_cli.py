"""The rampwick command and the admin interface, against a running host."""

import io
import json
import sys
from contextlib import redirect_stderr, redirect_stdout
from unittest import mock

import anyio
import httpx

from rampwick_cli import main
from rampwick_standin import PlatformFaults

from .bench import KEY, until
from .case import ScenarioCase


def run_main(arguments):
    """Run the command; return its exit code, standard output and standard error."""
    out, errors = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["rampwick", *arguments]),
        redirect_stdout(out),
        redirect_stderr(errors),
    ):
        try:
            code = main()
        except SystemExit as error:
            code = error.code
    return code, out.getvalue(), errors.getvalue()


async def run(*arguments):
    """Run the command in a worker thread; the event loop serves its requests."""
    return await anyio.to_thread.run_sync(run_main, arguments)


class TreeCommandsTest(ScenarioCase):
    def test_create_edit_move_delete_and_history(self):
        async def scenario(bench):
            platform = ("--platform", bench.platform_url)
            async with bench.run_host() as host:
                await host.until_ready()
                admin = ("--admin", f"http://{host.addresses.admin}")
                created = await run(
                    *("tree", "create", "/herbaria/new", "--new-key", "--json"),
                    *("--wait", "weight=3", "priority_class=batch", *platform, *admin),
                )
                self.assertEqual(0, created[0], created)
                key = json.loads(created[1].splitlines()[-1])["bearer_key"]
                models = await host.client.get(
                    "/v1/models", headers={"Authorization": f"Bearer {key}"}
                )
                self.assertEqual(200, models.status_code)
                got = await run("tree", "get", "/herbaria/new", "--json", *platform)
                self.assertEqual(3.0, json.loads(got[1])["weight"])
                await run("tree", "set", "/herbaria/new", "weight=4", *platform)
                conflict = await run(
                    "tree", "set", "/herbaria/new", "weight=5", "--base", "2", *platform
                )
                self.assertEqual(3, conflict[0])
                self.assertIn("/herbaria/new", conflict[2])
                bad = await run("tree", "set", "/herbaria", "weight=-1", *platform)
                self.assertEqual(2, bad[0])
                typo = await run("tree", "set", "/herbaria", "weigth=1", *platform)
                self.assertIn("did you mean weight", typo[2])
                moved = await run("tree", "move", "/herbaria/new", "/new", *platform)
                self.assertEqual(0, moved[0], moved)
                deleted = await run("tree", "delete", "/new", *platform)
                self.assertEqual(0, deleted[0], deleted)
                history = await run("tree", "history", "--json", *platform)
                self.assertEqual(5, len(json.loads(history[1])))
                shown = await run("tree", "show", *platform)
                self.assertNotIn("/new", shown[1])

        self.run_scenario(scenario)

    def test_unreachable_platform_has_its_own_exit_code(self):
        async def scenario(bench):
            bench.platform.set_faults(PlatformFaults(is_down=True))
            return await run("tree", "show", "--platform", bench.platform_url)

        code, _, errors = self.run_scenario(scenario)
        self.assertEqual(4, code)
        self.assertEqual(1, len(errors.splitlines()))


class HostCommandsTest(ScenarioCase):
    def test_status_ask_explain_and_drain(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                admin = ("--admin", f"http://{host.addresses.admin}")
                entry = ("--entry", f"http://{host.addresses.entry}", "--key", KEY)
                status = await run("status", "--json", *admin)
                self.assertTrue(json.loads(status[1])["is_ready"])
                completed = await run(
                    "ask", "--model", "lektor", "--json", *entry, "what is this?"
                )
                self.assertEqual(0, completed[0], completed)
                response = json.loads(completed[1])
                self.assertEqual("lektor-1", response["upstream"])
                explained = await run("explain", response["request"], "--json", *admin)
                (decision,) = json.loads(explained[1])
                self.assertEqual("lektor-1", decision["upstream"])
                table = await run("explain", response["request"], *admin)
                self.assertIn("weighed", table[1])
                refused = await run(
                    "ask", "--model", "lektor", *entry[:2], "--key", "wrong", "what?"
                )
                self.assertEqual(1, refused[0])
                self.assertEqual(0, (await run("drain", *admin))[0])
                await until(lambda: not host.daemon.lifecycle.is_ready)

        self.run_scenario(scenario)

    def test_health_and_metrics(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                await host.complete()
                url = f"http://{host.addresses.admin}"
                async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
                    health = await client.get("/healthz")
                    metrics = (await client.get("/metrics")).text
                    host.daemon.lifecycle.begin_stop()
                    ready = await client.get("/readyz")
            return health.status_code, metrics, ready.status_code

        health, metrics, ready = self.run_scenario(scenario)
        self.assertEqual((200, 503), (health, ready))
        labels = 'priority_class="interactive",workspace="/herbaria/labels"'
        self.assertIn(f"rampwick_first_token_seconds_count{{{labels}}} 1.0", metrics)
        self.assertIn('rampwick_attempts_total{outcome="done"', metrics)

    def test_weights_and_check(self):
        async def scenario(bench):
            platform = ("--platform", bench.platform_url)
            created = await run("weights", "set", "lektor", "3", "--json", *platform)
            shown = await run("weights", "show", "--json", *platform)
            missing = await run("check", "no-such-file.toml")
            return created, shown, missing

        created, shown, missing = self.run_scenario(scenario)
        self.assertEqual(
            [{"model": "lektor", "weights_version": 3}], json.loads(shown[1])
        )
        self.assertEqual((0, 2), (created[0], missing[0]))
        self.assertIn("no-such-file.toml", missing[2])

    def test_weights_are_shown_and_set_beside_an_odd_target(self):
        odd = b'{"a":' * 3000 + b"1" + b"}" * 3000
        sound = b'{"model":"m","weights_version":2}'
        value = b'{"write_id":"x","targets":[%s,%s]}' % (odd, sound)

        async def scenario(bench):
            platform = ("--platform", bench.platform_url)
            bench.platform.store.put("weights/targets", value, 0)
            before = await run("weights", "show", "--json", *platform)
            done = await run("weights", "set", "lektor", "3", "--json", *platform)
            after = await run("weights", "show", "--json", *platform)
            return before, done, after

        before, done, after = self.run_scenario(scenario)
        self.assertEqual([{"model": "m", "weights_version": 2}], json.loads(before[1]))
        self.assertIn("not read: weights/targets[0]", before[2])
        self.assertIn("replaced: weights/targets[0]", done[2])
        self.assertEqual(2, len(json.loads(after[1])))
        self.assertEqual((0, 0, 0, ""), (before[0], done[0], after[0], after[2]))


class ProfileCommandTest(ScenarioCase):
    def test_profile_lists_modules_and_cpu_share(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                admin = ("--admin", f"http://{host.addresses.admin}")
                arguments = ("profile", "--seconds", "0.3", *admin)
                code, out, _ = await run(*arguments, "--json")
                self.assertEqual(0, code)
                report = json.loads(out)
                self.assertGreaterEqual(report["elapsed_seconds"], 0.3)
                names = [row["name"] for row in report["modules"]]
                self.assertTrue(any("rampwick_" in name for name in names), names)
                code, out, _ = await run(*arguments)
                self.assertIn("part of a core", out)

        self.run_scenario(scenario)

    def test_profile_duration_over_the_limit_is_rejected(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                admin = ("--admin", f"http://{host.addresses.admin}")
                code, _, errors = await run("profile", "--seconds", "61", *admin)
                self.assertNotEqual(0, code)
                self.assertIn("up to 60", errors)

        self.run_scenario(scenario)

    def test_concurrent_profile_gets_a_conflict(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                url = f"http://{host.addresses.admin}/profile"
                async with httpx.AsyncClient(trust_env=False) as client:
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(post_profile, client, url, 0.4)
                        await anyio.sleep(0.1)
                        second = await client.post(url, params={"seconds": 0.1})
                        self.assertEqual(409, second.status_code)
                    third = await client.post(url, params={"seconds": 0.05})
                    self.assertEqual(200, third.status_code)

        self.run_scenario(scenario)


async def post_profile(client, url, seconds):
    """Request a profile."""
    await client.post(url, params={"seconds": seconds}, timeout=5.0)


class FleetStatusTest(ScenarioCase):
    def test_status_and_metrics_report_roles_and_costs(self):
        async def scenario(bench):
            async with bench.run_host() as first_host:
                seeds = (first_host.addresses.peer,)
                async with bench.run_host("entry-2", seeds=seeds) as second_host:
                    await until(lambda: second_host.daemon._gossip.roles.live_names)
                    admin = f"http://{second_host.addresses.admin}"
                    code, out, _ = await run("status", "--admin", admin)
                    self.assertEqual(0, code)
                    self.assertIn("roles: ", out)
                    self.assertIn("hosts heard: 1 of 1 known", out)
                    async with httpx.AsyncClient(trust_env=False) as client:
                        metrics = (await client.get(f"{admin}/metrics")).text
            for name in (
                'rampwick_control_messages_total{direction="sent",scope="hall"}',
                'rampwick_control_received_total{kind="Summary"}',
                'rampwick_role{role="reader"}',
                "rampwick_platform_calls{purpose=",
            ):
                self.assertIn(name, metrics)

        self.run_scenario(scenario)
