"""Tests of the platform's first question and its answer."""

import socket
import time

from parameterized import parameterized
from result import Err
from testtools import TestCase

from pollenmast.counters import PLATFORM_CALLS, Counters
from pollenmast.exchange import Exchange
from pollenmast.platform._early import EVERYTHING_PATH, QUESTION
from pollenmast.platform._first_read import StoreFirstRead
from pollenmast.platform._question import StoreQuestion
from pollenmast.steering import DirectoryFault

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
PAGE = b'{"items": [], "morePages": false, "asOf": 7}'


class QuestionTest(TestCase):
    """The store's answer, read without an event loop."""

    def setUp(self):
        """Connects a question with a stand-in for the store."""
        super().setUp()
        ours, self.store = socket.socketpair()
        ours.setblocking(False)
        self.store.settimeout(2.0)
        self.question = StoreQuestion(ours)
        self.question.ask()
        self.counters = Counters()
        self.read = StoreFirstRead(self.question, self.counters)
        self.addCleanup(self.store.close)
        self.addCleanup(self.read.close)

    def test_in_pieces(self):
        """The answer comes in pieces, as over a narrow link."""
        self.assertEqual(QUESTION, self.store.recv(4096))
        answer = HEAD % len(PAGE) + PAGE
        for piece in (answer[:9], answer[9:50], answer[50:-1]):
            self.store.sendall(piece)
            self.assertIsNone(self.read.poll(0.0))
        self.store.sendall(answer[-1:])
        self.assertEqual(7, self.read.poll(0.0).ok_value.revision)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "answered"))

    def _pages(self, *pages: bytes) -> None:
        """Has the store answer a question for each page, then end."""
        for page in pages:
            self.store.recv(4096)
            self.store.sendall(HEAD % len(page) + page)
            self.polled.append(self.read.poll(0.0))

    def test_pages(self):
        """The list is longer than one page, as in a fleet of hundreds.

        Asked for the rest only by the loaded program, a VM that has power
        again leaves its clients' packets unread for a tenth of a second more.
        """
        self.polled = []
        first = b'{"items": [{"key": "a b"}], "morePages": true, "asOf": 7}'
        self._pages(first, PAGE.replace(b"7", b"9"))
        self.assertIsNone(self.polled[0])
        self.assertEqual(7, self.polled[1].ok_value.revision)
        self.assertTrue(self.polled[1].ok_value.whole)
        self.assertEqual(2, self.counters.value(PLATFORM_CALLS, "answered"))

    def test_epoch(self):
        """The first answer's epoch is known like that of later ones."""
        self.store.recv(4096)
        head = (HEAD % len(PAGE)).replace(b"OK", b"OK\r\nStore-Era: 4")
        self.store.sendall(head + PAGE)
        self.assertEqual(4, self.read.poll(0.0).ok_value.epoch)

    def test_page_asked_for(self):
        """The next page begins after the last key."""
        self.store.recv(4096)
        page = b'{"items": [{"key": "a b"}], "morePages": true, "asOf": 7}'
        self.store.sendall(HEAD % len(page) + page)
        self.assertIsNone(self.read.poll(0.0))
        asked = self.store.recv(4096)
        self.assertIn(f"{EVERYTHING_PATH}&after=a%20b ".encode(), asked)

    def test_cut_off_between_pages(self):
        """The store goes away after the first page: the list is not whole.

        Taken for everything, it would leave most endpoints unused.
        """
        self.store.recv(4096)
        page = b'{"items": [{"key": "a"}], "morePages": true, "asOf": 7}'
        self.store.sendall(HEAD % len(page) + page)
        self.store.close()
        polled = self.read.poll(0.5)
        self.assertEqual(Err(DirectoryFault.UNREACHABLE), polled)

    @parameterized.expand(
        [
            ("busy", b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "status"),
            ("junk", b"\x00\xff\r\n\r\n", "malformed"),
            ("no_json", HEAD % 3 + b"{{{", "malformed"),
            ("a_list", HEAD % 2 + b"[]", "malformed"),
            ("no_items", HEAD % 2 + b"{}", "malformed"),
            (
                "long_list",
                HEAD % 40 + b'{"items":[],"morePages":true,"asOf":7}  ',
                "malformed",
            ),
            ("too_large", HEAD % (1 << 30) + bytes(1 << 16), None),
        ]
    )
    def test_unusable(self, _, answer, fault):
        """What cannot be used is left to the program, which asks again."""
        self.store.sendall(answer)
        polled = self.read.poll(0.0)
        if fault is None:
            self.assertIsNone(polled)
        else:
            self.assertEqual(Err(DirectoryFault(fault)), polled)
            self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "failed"))

    def test_closed(self):
        """The store closes the connection instead of answering."""
        self.store.close()
        self.assertTrue(self.read.poll(0.0).is_err())

    def test_question(self):
        """The question written by hand is what the exchange would write."""
        exchange = Exchange("store", 1)
        self.assertEqual(QUESTION, exchange.request(EVERYTHING_PATH))

    @parameterized.expand([("none", 0), ("some", 9), ("all", len(QUESTION))])
    def test_sent_before(self, _, sent):
        """What was sent before is not sent again."""
        ours, store = socket.socketpair()
        self.addCleanup(store.close)
        self.addCleanup(ours.close)
        store.setblocking(False)
        StoreQuestion(ours, sent).ask()
        rest = store.recv(4096) if QUESTION[sent:] else b""
        self.assertEqual(QUESTION[sent:], rest)

    def test_trickle(self):
        """The store sends a byte now and then; loading is not held up."""
        began = time.monotonic()
        self.store.sendall(b"H")
        self.assertIsNone(self.read.poll(0.01))
        self.assertTrue(self.read.begun)
        self.assertLess(time.monotonic() - began, 5.0)
