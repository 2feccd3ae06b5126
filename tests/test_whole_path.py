"""Requests served end to end."""

import anyio
import testtools

from rampwick_standin import answer_token

from .bench import KEY, run_bench, until


class EndToEndTest(testtools.TestCase):
    def test_streamed_and_unstreamed_responses_match_the_engine(self):
        async def scenario():
            async with run_bench() as bench:
                bench.add_runner("lektor-1")
                async with bench.run_host() as host:
                    await until(lambda: host.is_available("lektor-1"))
                    await until(lambda: host.daemon.follower.revision == 1)
                    unstreamed = await host.complete("a label to read", max_tokens=5)
                    self.assertEqual(200, unstreamed.status_code, unstreamed.text)
                    expected = "".join(
                        answer_token(b"a label to read", at) for at in range(5)
                    )
                    self.assertEqual(expected, unstreamed.json()["choices"][0]["text"])
                    streamed = await host.complete("a label to read", stream=True)
                    self.assertIn("data: [DONE]", streamed.text)

        anyio.run(scenario)

    def test_deeply_nested_bodies_are_rejected_as_not_run(self):
        async def scenario():
            async with run_bench() as bench:
                bench.add_runner("lektor-1")
                async with bench.run_host() as host:
                    await until(lambda: host.is_available("lektor-1"))
                    await until(lambda: host.daemon.follower.revision == 1)
                    statuses = {}
                    for depth in (100, 190, 260, 300, 900):
                        nested = 1
                        for _ in range(depth):
                            nested = [nested]
                        response = await host.complete(extra=nested, max_tokens=1)
                        statuses[depth] = response.status_code
                    return statuses

        expected = {100: 200, 190: 200, 260: 400, 300: 400, 900: 400}
        self.assertEqual(expected, anyio.run(scenario))

    def test_unknown_key_is_rejected(self):
        async def scenario():
            async with run_bench() as bench, bench.run_host() as host:
                await until(lambda: host.daemon.follower.revision == 1)
                response = await host.complete(key=KEY + "x")
                self.assertEqual(401, response.status_code)
                self.assertEqual("no", response.json()["error"]["was_run"])

        anyio.run(scenario)
