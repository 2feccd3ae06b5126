"""Fingerprints, which relate retries of a request in a host's logs."""

from testtools import TestCase

from rampwick_policy import RequestIdentity
from rampwick_router.entry import _exchange

from .case import ScenarioCase
from .scripted import Hangup
from .test_routed import all_scripts, run


class IdentityTest(TestCase):
    def test_fingerprint_depends_on_caller_path_and_body(self):
        def fingerprint(*terms):
            return RequestIdentity(*terms).fingerprint

        first = fingerprint("/a", "h/x", b"one")
        self.assertEqual(first, fingerprint("/a", "h/x", b"one"))
        others = {
            fingerprint("/b", "h/x", b"one"),
            fingerprint("/a", "h/y", b"one"),
            fingerprint("/a", "h/x", b"two"),
            # The boundary between the components matters as well.
            fingerprint("/a", "h/xo", b"ne"),
        }
        self.assertEqual(4, len(others - {first}))

    def test_repr_does_not_contain_the_body(self):
        self.assertNotIn("secret", repr(RequestIdentity("/a", "h/x", b"secret")))


class LogTest(ScenarioCase):
    def test_attempts_with_closed_connections_log_the_fingerprint(
        self,
    ):
        lines = []
        self.patch(
            _exchange.log,
            "_write",
            lambda level, text, fields: lines.append((text, fields)),
        )

        async def close_connection(exchange):
            raise Hangup

        async def scenario(host, servers):
            all_scripts(servers, close_connection)
            for number, body in enumerate((b"one", b"one", b"two")):
                await host.call("/once/1", request_id=f"r{number}", body=body)

        run(scenario, upstreams={"labels": ["a", "b", "c"]})
        fingerprints = {
            fields["request"]: fields["fingerprint"]
            for text, fields in lines
            if text == "attempt failed" and "fingerprint" in fields
        }
        self.assertEqual({"r0", "r1", "r2"}, set(fingerprints))
        self.assertEqual(fingerprints["r0"], fingerprints["r1"])
        self.assertNotEqual(fingerprints["r0"], fingerprints["r2"])
