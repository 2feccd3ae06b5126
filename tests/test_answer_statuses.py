"""An answer whose status is none of HTTP's is no answer to a caller."""

import json

from testtools import TestCase

from rampwick_schema import HostEntry

from .bench import until
from .case import ScenarioCase
from .scripted import ScriptedUpstream
from .test_broken_answers import GET_SERVICE, call_service
from .test_broken_heads import (
    BODY,
    CLOSE,
    NAMES,
    ROUTES,
    answer_plain,
    answer_unsigned,
    broken_then_sound,
    play,
    usable_count,
)
from .test_routed import all_scripts, ran, run

INVALID_STATUSES = ("000", "001", "099", "199", "600", "700", "999", "1000", "-01")
VALID_STATUSES = ("200", "299", "404", "421", "500", "599")


def answer(status, fields=b""):
    """Return a whole answer."""
    line = f"HTTP/1.1 {status} Trouble\r\n".encode()
    return line + fields + b"Content-Length: 5\r\n\r\n" + BODY


class ConnectionTest(TestCase):
    def test_status_outside_of_http_is_no_answer(self):
        for status in INVALID_STATUSES:
            self.assertEqual(None, play(answer(status), CLOSE), status)

    def test_other_statuses_are_read(self):
        for status in VALID_STATUSES:
            self.assertEqual(int(status), play(answer(status), CLOSE)[0])


class RouteTest(TestCase):
    def send_all(self, path, sound):
        async def scenario(host, servers):
            found = {}
            for number, status in enumerate(INVALID_STATUSES):

                def cut_of(exchange, number=number, status=status):
                    name = exchange.upstream.name
                    fields = f"Rampwick-Request-Id: r{number}\r\n"
                    fields += f"Rampwick-Incarnation: {name}\r\n"
                    return answer(status, fields.encode())

                all_scripts(servers, broken_then_sound(cut_of, sound))
                before = len(ran(servers))
                await until(lambda: host.daemon.scheduler.run_query(usable_count) > 2)
                view = await host.call(f"{path}{number}", request_id=f"r{number}")
                found[status] = view, len(ran(servers)) - before
            return found

        service = "labels" if sound is answer_plain else "notes"
        return run(scenario, {service: NAMES})

    def test_status_outside_of_http_is_repeated_or_an_error(self):
        for path, (sound, body, may_repeat) in ROUTES.items():
            for status, (view, runs_count) in self.send_all(path, sound).items():
                case = path, status
                if may_repeat:
                    seen = view.status, view.body, runs_count
                    self.assertEqual((200, body, 2), seen, case)
                    continue
                self.assertEqual((502, 1), (view.status, runs_count), case)
                self.assertEqual("maybe", json.loads(view.body)["error"]["was_run"])


class ServiceTest(ScenarioCase):
    def call_all(self, method):
        async def scenario(bench):
            upstreams = [ScriptedUpstream(name) for name in NAMES]
            for upstream in upstreams:
                await bench.tasks.start(upstream.serve)
                bench.list_entry(
                    HostEntry(
                        upstream.name,
                        "service",
                        "trnava",
                        upstream.address,
                        group="portal",
                    )
                )
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: all(host.upstream(name) for name in NAMES))
                query = host.daemon.scheduler.run_query
                found = {}
                for status in INVALID_STATUSES:
                    whole = answer(status)
                    script = broken_then_sound(
                        lambda _, whole=whole: whole, answer_unsigned
                    )
                    for upstream in upstreams:
                        upstream.scripts = [script]
                    await until(lambda: query(usable_count) > 2)
                    request = GET_SERVICE.replace(b"/x ", b"/%b " % status.encode())
                    request = request.replace(b"GET", method)
                    found[status] = await call_service(host, request)
                return found

        return self.run_scenario(scenario)

    def test_status_outside_of_http_is_repeated_or_an_error(self):
        for method, expected in ((b"GET", 200), (b"POST", 502)):
            for status, view in self.call_all(method).items():
                seen = view.status, view.is_whole
                self.assertEqual((expected, True), seen, (method, status))
