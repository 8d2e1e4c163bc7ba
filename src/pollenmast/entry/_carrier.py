"""Carries clients' datagrams; needs no event loop.

A VM carries packets before its event loop and most of its program are loaded
(`_boot`), and from the loop afterwards (`_packets`).
"""

import socket

from result import Err

from pollenmast import counters as c
from pollenmast.counters import Counters, DropReason
from pollenmast.entry._ports import Address, PacketFormat
from pollenmast.events import (
    FLOW_PLACED,
    FLOW_RESET,
    REQUEST_CARRIED,
    SEGMENT_DROPPED,
    EventLog,
)
from pollenmast.steering import Drop, Forward, Reset, Segment, Steering

BATCH = 64
"""Datagrams read in a row before other tasks get their turn, about 3 ms."""

_MOST_DATAGRAM_BYTES = 2048


class Carrier:
    """Takes clients' datagrams and sends them where steering says."""

    def __init__(
        self,
        sock: socket.socket,
        packets: PacketFormat,
        steering: Steering,
        counters: Counters,
        log: EventLog,
    ):
        self._sock = sock
        self._packets = packets
        self._steering = steering
        self._counters = counters
        self._log = log
        self._skip_syns = False

    @property
    def sock(self) -> socket.socket:
        """The socket of clients' datagrams."""
        return self._sock

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def skip_syns(self) -> None:
        """The VM stood still: SYNs that waited are from clients long gone.

        Passed on, each would take a connection of an endpoint for nobody.
        """
        self._skip_syns = True

    def carry_waiting(self, now: float) -> None:
        """Carries the datagrams that wait in the socket, up to a batch."""
        for _ in range(BATCH):
            try:
                datagram = self._sock.recv(_MOST_DATAGRAM_BYTES)
            except BlockingIOError:
                self._skip_syns = False
                return
            except OSError:
                # A datagram sent before found no listener; the error is
                # reported here and says nothing of this socket.
                continue
            self._carry(datagram, now)

    def end(self, resets: list[Reset], now: float) -> None:
        """Tells clients that their flows have ended."""
        for reset in resets:
            self._send_reset(reset, "", now)

    def _carry(self, datagram: bytes, now: float) -> None:
        decoded = self._packets.decode(datagram)
        if isinstance(decoded, Err):
            self._counters.add(c.DROPS, decoded.err_value)
            self._log.write(
                SEGMENT_DROPPED, reason=decoded.err_value, length=len(datagram)
            )
            return
        segment = decoded.ok_value
        if segment.syn and self._skip_syns:
            self._counters.add(c.DROPS, DropReason.BACKLOG)
            return
        outcome = self._steering.on_segment(segment, now)
        if isinstance(outcome, Forward):
            endpoint = outcome.endpoint
            data = self._packets.for_endpoint(segment, endpoint)
            self._send(data, (endpoint.host, endpoint.port))
            self._tell_forward(segment, outcome, now)
        elif isinstance(outcome, Reset):
            self._send_reset(outcome, self._packets.request_id(segment), now)
        else:
            self._tell_drop(segment, outcome, now)

    def _send_reset(self, reset: Reset, request: str, now: float) -> None:
        data, address = self._packets.for_reset(reset)
        self._send(data, address)
        self._log.write(
            FLOW_RESET,
            flow=str(reset.flow),
            reason=reset.reason,
            endpoint=reset.endpoint,
            request=request,
            **self._inputs(now),
        )

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError:
            # The link's queue is full or the address is out of reach; the
            # ends send again, and the counter tells.
            self._counters.add(c.DROPS, DropReason.SEND_FAILED)

    def _tell_forward(
        self, segment: Segment, outcome: Forward, now: float
    ) -> None:
        if outcome.placed is not None:
            self._log.write(
                FLOW_PLACED,
                flow=str(segment.flow),
                endpoint=outcome.endpoint.name,
                reason=outcome.placed,
                copies=segment.syn_copies,
                **self._inputs(now),
            )
        elif segment.length:
            request = self._packets.request_id(segment)
            if request:
                self._log.write(
                    REQUEST_CARRIED,
                    request=request,
                    flow=str(segment.flow),
                    endpoint=outcome.endpoint.name,
                )

    def _tell_drop(self, segment: Segment, outcome: Drop, now: float) -> None:
        self._log.write(
            SEGMENT_DROPPED,
            reason=outcome.reason,
            flow=str(segment.flow),
            token=segment.token,
            **self._inputs(now),
        )

    def _inputs(self, now: float) -> dict[str, object]:
        """Returns what decisions rest on, for the log: versions and age."""
        table = self._steering.table
        return {
            "routes": table.version if table is not None else 0,
            "revision": self._steering.revision,
            "age_ms": _milliseconds(self._steering.age_s(now)),
        }


def _milliseconds(seconds: float) -> int:
    return int(min(seconds, 1e6) * 1000)
