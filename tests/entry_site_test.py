"""Tests of entry._site: requests that a VM's HTTP ports have to bear."""

import trio
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters, Histograms
from pollenmast.entry._site import HttpHandler
from pollenmast.http1 import Request
from tests import steering_group as group


class HttpHandlerTest(TestCase):
    """Any request target gets an answer."""

    @parameterized.expand(
        [
            ("plain", "/ready", 200),
            ("query", "/ready?x=1", 200),
            ("absolute", "http://10.1.0.10:8167/ready", 200),
            ("absolute_without_path", "http://10.1.0.10", 404),
            ("asterisk", "*", 404),
            ("empty", "", 404),
            ("unclosed_bracket", "//[", 404),
            ("invalid_host", "http://[x/ready", 200),
            ("many_fields", "/snapshot?" + "a=1&" * 2000, 200),
        ]
    )
    def test_target(self, _, target, status):
        """A malformed target is answered and raises nothing.

        An exception in the handler ends the VM's process.
        """
        core = group.steering(group.endpoint(1))
        site = HttpHandler("/ready", core, Counters(), Histograms())
        answer = trio.run(site.answer, Request("GET", target))
        self.assertEqual(status, answer.status)
