"""Tests of platform._first_read and platform._early_client."""

import socket
import time

from parameterized import parameterized
from result import Err
from testtools import TestCase

from pollenmast.counters import PLATFORM_CALLS, Counters
from pollenmast.exchange import Exchange
from pollenmast.platform._early import LIST_ALL_PATH, LIST_ALL_REQUEST
from pollenmast.platform._early_client import EarlyStoreClient
from pollenmast.platform._first_read import StoreFirstRead
from pollenmast.steering import DirectoryFault

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
PAGE = b'{"items": [], "morePages": false, "asOf": 7}'


class FirstReadTest(TestCase):
    """The first read of the store, without an event loop."""

    def setUp(self):
        """Connects a client to a socket that stands in for the store."""
        super().setUp()
        client_sock, self.store = socket.socketpair()
        client_sock.setblocking(False)
        self.store.settimeout(2.0)
        self.client = EarlyStoreClient(client_sock)
        self.client.send_pending()
        self.counters = Counters()
        self.first_read = StoreFirstRead(self.client, self.counters)
        self.addCleanup(self.store.close)
        self.addCleanup(self.first_read.close)

    def test_partial_reads(self):
        """The response arrives in pieces, as over a slow link."""
        self.assertEqual(LIST_ALL_REQUEST, self.store.recv(4096))
        response = HEAD % len(PAGE) + PAGE
        for piece in (response[:9], response[9:50], response[50:-1]):
            self.store.sendall(piece)
            self.assertIsNone(self.first_read.poll(0.0))
        self.store.sendall(response[-1:])
        self.assertEqual(7, self.first_read.poll(0.0).ok_value.revision)
        self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "answered"))

    def _serve_pages(self, *pages: bytes) -> None:
        """Serves each page to one request and polls after each."""
        for page in pages:
            self.store.recv(4096)
            self.store.sendall(HEAD % len(page) + page)
            self.results.append(self.first_read.poll(0.0))

    def test_multiple_pages(self):
        """A list of several pages, as of a fleet of hundreds, is read whole.

        If the other pages were requested only by the loaded program, a VM that
        starts after a power failure would leave its clients' packets unread
        for another tenth of a second.
        """
        self.results = []
        first = b'{"items": [{"key": "a b"}], "morePages": true, "asOf": 7}'
        self._serve_pages(first, PAGE.replace(b"7", b"9"))
        self.assertIsNone(self.results[0])
        self.assertEqual(7, self.results[1].ok_value.revision)
        self.assertTrue(self.results[1].ok_value.complete)
        self.assertEqual(2, self.counters.value(PLATFORM_CALLS, "answered"))

    def test_epoch(self):
        """The epoch of the first response is read, as that of later ones is."""
        self.store.recv(4096)
        head = (HEAD % len(PAGE)).replace(b"OK", b"OK\r\nStore-Era: 4")
        self.store.sendall(head + PAGE)
        self.assertEqual(4, self.first_read.poll(0.0).ok_value.epoch)

    def test_next_page_request(self):
        """The next page is requested from the last key of the previous page."""
        self.store.recv(4096)
        page = b'{"items": [{"key": "a b"}], "morePages": true, "asOf": 7}'
        self.store.sendall(HEAD % len(page) + page)
        self.assertIsNone(self.first_read.poll(0.0))
        request = self.store.recv(4096)
        self.assertIn(f"{LIST_ALL_PATH}&after=a%20b ".encode(), request)

    def test_store_down_between_pages(self):
        """A list is not complete if the store goes down after its first page.

        If it were treated as complete, most endpoints would not be used.
        """
        self.store.recv(4096)
        page = b'{"items": [{"key": "a"}], "morePages": true, "asOf": 7}'
        self.store.sendall(HEAD % len(page) + page)
        self.store.close()
        result = self.first_read.poll(0.5)
        self.assertEqual(Err(DirectoryFault.UNREACHABLE), result)

    @parameterized.expand(
        [
            ("busy", b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "status"),
            ("not_http", b"\x00\xff\r\n\r\n", "malformed"),
            ("not_json", HEAD % 3 + b"{{{", "malformed"),
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
    def test_unusable_response(self, _, response, fault):
        """An unusable response is a fault; the loaded program asks again."""
        self.store.sendall(response)
        result = self.first_read.poll(0.0)
        if fault is None:
            self.assertIsNone(result)
        else:
            self.assertEqual(Err(DirectoryFault(fault)), result)
            self.assertEqual(1, self.counters.value(PLATFORM_CALLS, "failed"))

    def test_connection_closed(self):
        """The read fails if the store closes the connection too early."""
        self.store.close()
        self.assertTrue(self.first_read.poll(0.0).is_err())

    def test_hard_coded_request(self):
        """The hard-coded request equals the one that `Exchange` serialises."""
        exchange = Exchange("store", 1)
        self.assertEqual(LIST_ALL_REQUEST, exchange.request(LIST_ALL_PATH))

    @parameterized.expand(
        [("none", 0), ("some", 9), ("all", len(LIST_ALL_REQUEST))]
    )
    def test_partly_sent_request(self, _, sent):
        """Bytes that were sent before are not sent again."""
        client_sock, store = socket.socketpair()
        self.addCleanup(store.close)
        self.addCleanup(client_sock.close)
        store.setblocking(False)
        EarlyStoreClient(client_sock, sent).send_pending()
        rest = store.recv(4096) if LIST_ALL_REQUEST[sent:] else b""
        self.assertEqual(LIST_ALL_REQUEST[sent:], rest)

    def test_slow_response(self):
        """A store that sends single bytes does not block loading."""
        began = time.monotonic()
        self.store.sendall(b"H")
        self.assertIsNone(self.first_read.poll(0.01))
        self.assertTrue(self.first_read.is_arriving)
        self.assertLess(time.monotonic() - began, 5.0)
