"""Fingerprints, which relate retries of a request in a host's logs."""

import json
from unittest import mock

from testtools import TestCase

from rampwick_policy import RequestIdentity, Workspace
from rampwick_policy._identity import MAX_PART_KEYS
from rampwick_router.entry import _exchange
from rampwick_router.entry._call import CallTerms, read_model_call, read_part_keys
from rampwick_schema import PlacementSettings

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


class PartKeysTest(TestCase):
    def message_keys(self, *texts):
        """Return the keys of a chat's messages."""
        messages = [{"role": "user", "content": text} for text in texts]
        raw = json.dumps({"model": "m", "messages": messages}).encode()
        terms = CallTerms(Workspace("/w", (), ()), "batch", 1.0, True)
        call = read_model_call(raw, terms, PlacementSettings(), is_chat=True)
        return read_part_keys(call)

    def test_messages_but_the_last_have_keys_that_do_not_depend_on_their_position(self):
        first = self.message_keys("a guide", "a label", "one question")
        second = self.message_keys("a label", "another question")
        self.assertEqual(2, len(first))
        self.assertEqual(first[1:], second)

    def test_keys_are_distinct_and_bounded_in_number(self):
        keys = [b"same", b"same", *(b"%d" % number for number in range(100))]
        identity = RequestIdentity("/w", "h/x", b"", lambda: keys)
        self.assertEqual(MAX_PART_KEYS, len(set(identity.part_keys)))
        self.assertEqual((b"same", b"0", b"1"), identity.part_keys[:3])

    def test_no_parts_without_a_prompt(self):
        self.assertEqual((), RequestIdentity("/w", "h/x", b"").part_keys)


class LogTest(ScenarioCase):
    def record_lines(self):
        """Return a list to which the log lines of exchanges are added."""
        lines = []
        self.enterContext(
            mock.patch.object(
                _exchange.log,
                "_write",
                lambda level, text, fields: lines.append((text, fields)),
            )
        )
        return lines

    def test_attempts_with_closed_connections_log_the_fingerprint(
        self,
    ):
        lines = self.record_lines()

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

    def test_attempts_with_closed_connections_log_all_parts_but_the_last(self):
        lines = self.record_lines()

        async def close_connection(exchange):
            raise Hangup

        async def scenario(host, servers):
            all_scripts(servers, close_connection)
            for number in range(2):
                parts = f"guide:100,letter-{number}:20,own-{number}:5"
                await host.call(
                    "/once/1",
                    request_id=f"r{number}",
                    headers={"Rampwick-Prompt-Parts": parts},
                )

        run(scenario, upstreams={"labels": ["a", "b", "c"]})
        first, second = (
            fields["parts"] for text, fields in lines if text == "attempt failed"
        )
        self.assertEqual(2, len(first))
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
