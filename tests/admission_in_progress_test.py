"""Tests of admission._in_progress."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import RequestsInProgress
from pollenmast.admission._in_progress import (
    DEFAULT_SERVICE_TIME_S,
    MAX_REQUESTS,
    MAX_SERVICE_TIME_S,
    MAX_TIMEOUT_S,
    MIN_SERVICE_TIME_S,
    MIN_TIMEOUT_S,
    SCAN_INTERVAL_S,
    SERVICE_TIME_WEIGHT,
    TIMEOUT_FACTOR,
)


def _counts(requests: RequestsInProgress) -> tuple[int, int, int]:
    return requests.count("s"), requests.count_at("a"), requests.count_at("b")


class CountTest(TestCase):
    """Each flow counts for one request at most, and until it ends.

    A count that is too high holds flows while endpoints are idle; one that is
    too low, or negative, overloads them.
    """

    @parameterized.expand(
        [
            ("begin", [("begin", 1, "a")], (1, 1, 0)),
            ("twice", [("begin", 1, "a")] * 2, (1, 1, 0)),
            ("end", [("begin", 1, "a"), ("end", 1)], (0, 0, 0)),
            ("end_twice", [("begin", 1, "a"), *[("end", 1)] * 2], (0, 0, 0)),
            ("end_only", [("end", 1)], (0, 0, 0)),
            (
                "end_only_then_begin",
                [("end", 1), ("begin", 1, "a")],
                (1, 1, 0),
            ),
            (
                "end_of_another",
                [("begin", 1, "a"), ("begin", 2, "b"), ("end", 3), ("end", 2)],
                (1, 1, 0),
            ),
            ("move", [("begin", 1, "a"), ("begin", 1, "b")], (1, 0, 1)),
            (
                "move_and_end_twice",
                [("begin", 1, "a"), ("begin", 1, "b"), *[("end", 1)] * 2],
                (0, 0, 0),
            ),
            (
                "next_request",
                [("begin", 1, "a"), ("end", 1), ("begin", 1, "a")],
                (1, 1, 0),
            ),
        ]
    )
    def test_count(self, _, calls, expected):
        """Duplicates and ends without a request change nothing."""
        requests = RequestsInProgress()
        for name, key, *endpoint in calls:
            if name == "begin":
                requests.begin(key, "s", *endpoint, 0.0)
            else:
                requests.end(key, 0.1, learn=True)
        self.assertEqual(expected, _counts(requests))

    def test_random_calls(self):
        """The counts are those of a plain model after any calls."""
        rng, requests, model = random.Random(1), RequestsInProgress(), {}
        for step in range(5000):
            key, endpoint = rng.randrange(40), rng.choice("ab")
            if rng.random() < 0.5:
                requests.begin(key, "s", endpoint, step * 1e-6)
                model[key] = endpoint
            else:
                requests.end(key, step * 1e-6, learn=rng.random() < 0.5)
                model.pop(key, None)
            at = list(model.values())
            expected = len(at), at.count("a"), at.count("b")
            self.assertEqual(expected, _counts(requests))

    def test_memory_is_bounded(self):
        """A flood of flows evicts the oldest ones, with their counts."""
        requests = RequestsInProgress()
        for key in range(MAX_REQUESTS + 500):
            requests.begin(key, "s", "a" if key < 500 else "b", 0.0)
        self.assertEqual((MAX_REQUESTS, 0, MAX_REQUESTS), _counts(requests))
        self.assertEqual(MAX_REQUESTS, len(requests._requests))

    def test_names_without_requests_use_no_memory(self):
        """Endpoints and services that were removed are forgotten."""
        requests = RequestsInProgress()
        for key in range(1000):
            requests.begin(key, f"s{key}", f"e{key}", 0.0)
            requests.end(key, 0.0)
        self.assertEqual({}, requests._by_service)
        self.assertEqual({}, requests._by_endpoint)


class ExpiryTest(TestCase):
    """Requests whose end passed through another VM stop counting."""

    @parameterized.expand(
        [
            ("default", 0, DEFAULT_SERVICE_TIME_S * TIMEOUT_FACTOR),
            ("fast", 0.002, MIN_TIMEOUT_S),
            ("slow", 5.0, MAX_TIMEOUT_S),
        ]
    )
    def test_timeout(self, _, usual_s, expected):
        """A request expires after a multiple of the usual time, in bounds."""
        requests = RequestsInProgress()
        for n in range(300 if usual_s else 0):
            requests.begin(n, "s", "a", 0.0)
            requests.end(n, usual_s, learn=True)
        self.assertAlmostEqual(expected, requests.timeout_s("s"))
        requests.begin("key", "s", "a", 10.0)
        requests.expire(10.0 + expected - 2 * SCAN_INTERVAL_S)
        self.assertEqual(1, requests.count("s"))
        requests.expire(10.0 + expected + SCAN_INTERVAL_S)
        self.assertEqual((0, 0, 0), _counts(requests))

    def test_each_service_has_its_timeout(self):
        """A slow service's old requests do not hide expired ones of others."""
        requests = RequestsInProgress()
        for n in range(300):
            requests.begin(n, "slow", "b", 0.0)
            requests.end(n, 5.0, learn=True)
        requests.begin("slow", "slow", "b", 10.0)
        requests.begin("fast", "s", "a", 10.1)
        requests.expire(11.0)
        self.assertEqual(1, requests.count("slow"))
        self.assertEqual(0, requests.count("s"))

    def test_moved_request_starts_anew(self):
        """The time at the first endpoint does not count for the second."""
        requests = RequestsInProgress()
        requests.begin(1, "s", "a", 0.0)
        requests.begin(1, "s", "b", 0.35)
        requests.expire(0.5)
        self.assertEqual((1, 0, 1), _counts(requests))

    def test_end_after_expiry(self):
        """A late end neither counts nor changes the learnt time."""
        requests = RequestsInProgress()
        requests.begin(1, "s", "a", 0.0)
        requests.expire(5.0)
        requests.end(1, 5.0, learn=True)
        self.assertEqual((0, 0, 0), _counts(requests))
        self.assertEqual(DEFAULT_SERVICE_TIME_S, requests.service_time_s("s"))

    def test_time_that_does_not_advance(self):
        """Calls at one instant, or earlier, expire nothing."""
        requests = RequestsInProgress()
        requests.begin(1, "s", "a", 5.0)
        for now in (5.0, 5.0, 4.0, -1.0):
            requests.expire(now)
        self.assertEqual(1, requests.count("s"))

    def test_search_is_rare(self):
        """A flood of SYNs does not make each packet cost a long search.

        Requests between the minimum and their own timeout are passed over by
        each search; with thousands of them it takes milliseconds.
        """
        requests = RequestsInProgress()
        for n in range(300):
            requests.begin(n, "s", "a", 0.0)
            requests.end(n, 5.0, learn=True)
        for key in range(MAX_REQUESTS):
            requests.begin(key, "s", "a", 0.0)
        searches = []
        timeout_s = requests.timeout_s
        requests.timeout_s = lambda s: searches.append(s) or timeout_s(s)
        for packet in range(1000):
            requests.expire(1.0 + packet * 1e-5)
        self.assertLessEqual(len(searches), 2 * MAX_REQUESTS)


class ServiceTimeTest(TestCase):
    """The learnt time of a request stays within its bounds."""

    @parameterized.expand(
        [
            ("at_once", 0.0, MIN_SERVICE_TIME_S),
            ("before_its_begin", -5.0, MIN_SERVICE_TIME_S),
            ("usual", 0.08, 0.08),
            ("late", 1e6, MAX_SERVICE_TIME_S),
        ]
    )
    def test_learns_within_bounds(self, _, took_s, expected):
        """Forged early or late ends cannot move it out of its bounds.

        With a time of 0 any number of flows would be held.
        """
        requests = RequestsInProgress()
        for n in range(500):
            requests.begin(n, "s", "a", 0.0)
            requests.end(n, took_s, learn=True)
        self.assertAlmostEqual(expected, requests.service_time_s("s"), 3)

    @parameterized.expand([("early", 0.0), ("late", 1e6)])
    def test_one_answer_changes_little(self, _, took_s):
        """One forged end moves the time by its weight at most."""
        requests = RequestsInProgress()
        requests.begin(1, "s", "a", 0.0)
        requests.end(1, took_s, learn=True)
        change = requests.service_time_s("s") - DEFAULT_SERVICE_TIME_S
        most = SERVICE_TIME_WEIGHT * MAX_SERVICE_TIME_S
        self.assertLessEqual(abs(change), most)

    @parameterized.expand([("duplicate", 1), ("unknown", 2)])
    def test_only_real_ends_teach(self, _, key):
        """Forged duplicates and ends without a request teach nothing."""
        requests = RequestsInProgress()
        requests.begin(1, "s", "a", 0.0)
        requests.end(1, 0.05, learn=True)
        learnt = requests.service_time_s("s")
        for _ in range(100):
            requests.end(key, 9.0, learn=True)
        self.assertEqual(learnt, requests.service_time_s("s"))

    def test_failed_requests_teach_nothing(self):
        """A reset or a removed flow does not make the service seem fast."""
        requests = RequestsInProgress()
        for n in range(100):
            requests.begin(n, "s", "a", 0.0)
            requests.end(n, 0.0)
        self.assertEqual(DEFAULT_SERVICE_TIME_S, requests.service_time_s("s"))
