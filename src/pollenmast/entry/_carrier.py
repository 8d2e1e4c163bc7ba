"""Forwards clients' datagrams without depending on the event loop.

A VM forwards packets from `_boot` before its event loop and most of its program
are loaded, and from the event loop (`_packets`) afterwards.
"""

import socket

from result import Err

from pollenmast import counters as c
from pollenmast.counters import Counters, DropReason, FaultPlace
from pollenmast.entry._faults import OPEN_BARRIER, FaultBarrier
from pollenmast.entry._ports import Address, PacketFormat
from pollenmast.events import (
    FLOW_PLACED,
    FLOW_RESET,
    REQUEST_CARRIED,
    SEGMENT_DROPPED,
    EventLog,
)
from pollenmast.steering import (
    Drop,
    Forward,
    Held,
    Outcome,
    Released,
    Reset,
    Segment,
    Steering,
)

MAX_BATCH = 64
"""Limit on the datagrams read in a row before other tasks run, about 3 ms."""

_MAX_DATAGRAM_BYTES = 2048


class Forwarder:
    """Receives clients' datagrams and forwards them as steering decides.

    Args:
        sock: The socket of clients' datagrams, which must not block.
        packets: The format of the datagrams.
        steering: Chooses the endpoint of each flow.
        counters: Counts dropped datagrams.
        log: The event log.
        faults: Contains faults in the handling of one packet.
    """

    def __init__(
        self,
        sock: socket.socket,
        packets: PacketFormat,
        steering: Steering,
        counters: Counters,
        log: EventLog,
        faults: FaultBarrier = OPEN_BARRIER,
    ):
        self._faults = faults
        self._sock = sock
        self._packets = packets
        self._steering = steering
        self._counters = counters
        self._log = log
        self._drop_queued_syns = False

    @property
    def sock(self) -> socket.socket:
        """The socket on which clients' datagrams arrive."""
        return self._sock

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def drop_queued_syns(self) -> None:
        """Drops the SYNs that are queued in the socket after a pause.

        Their clients have given up long ago. Forwarded, each SYN would occupy
        a connection of an endpoint that no client uses.
        """
        self._drop_queued_syns = True

    def forward_queued(self, now: float) -> None:
        """Forwards the datagrams queued in the socket, at most `MAX_BATCH`.

        Args:
            now: Time of the event loop's clock in seconds.
        """
        for _ in range(MAX_BATCH):
            try:
                datagram = self._sock.recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._drop_queued_syns = False
                break
            except OSError:
                # The error concerns a datagram sent earlier, to an address
                # without a listener, and says nothing of this socket.
                continue
            try:
                self._on_datagram(datagram, now)
            except Exception as error:
                if not self._faults.contains(
                    FaultPlace.PACKET, error, datagram
                ):
                    raise
        if self._steering.admission.held:
            with self._faults.guard(FaultPlace.HELD):
                self._release_held(now)

    def next_release_at(self, now: float) -> float:
        """Returns when `forward_queued` has to be called at the latest.

        It is infinite unless SYNs are held.

        Args:
            now: Time of the event loop's clock in seconds.
        """
        return self._steering.admission.next_release_at(now)

    def refuse_held(self, now: float) -> None:
        """Resets the held SYNs, whose clients then open their flows anew."""
        self._carry_out_released(self._steering.refuse_held(now), now)

    def send_resets(self, resets: list[Reset], now: float) -> None:
        """Sends resets to the clients of flows that have ended."""
        for reset in resets:
            self._send_reset(reset, "", now)

    def _on_datagram(self, datagram: bytes, now: float) -> None:
        decoded = self._packets.decode(datagram)
        if isinstance(decoded, Err):
            self._counters.add(c.DROPS, decoded.err_value)
            self._log.write(
                SEGMENT_DROPPED, reason=decoded.err_value, length=len(datagram)
            )
            return
        segment = decoded.ok_value
        if segment.syn and self._drop_queued_syns:
            self._counters.add(c.DROPS, DropReason.BACKLOG)
            return
        outcome = self._steering.on_segment(segment, now)
        self._carry_out(segment, outcome, now)

    def _release_held(self, now: float) -> None:
        """Forwards or refuses the held SYNs that are decided now."""
        self._carry_out_released(self._steering.release_held(now), now)

    def _carry_out_released(self, released: list[Released], now: float) -> None:
        for each in released:
            self._carry_out(each.segment, each.outcome, now, each.held_s)

    def _carry_out(
        self,
        segment: Segment,
        outcome: Outcome,
        now: float,
        held_s: float = 0.0,
    ) -> None:
        if isinstance(outcome, Forward):
            endpoint = outcome.endpoint
            data = self._packets.encode_for_endpoint(segment, endpoint)
            self._send(data, (endpoint.host, endpoint.port))
            self._log_forward(segment, outcome, now, held_s)
        elif isinstance(outcome, Reset):
            request = self._packets.request_id(segment)
            self._send_reset(outcome, request, now, held_s)
        elif not isinstance(outcome, Held):
            self._log_drop(segment, outcome, now)

    def _send_reset(
        self, reset: Reset, request: str, now: float, held_s: float = 0.0
    ) -> None:
        data, address = self._packets.encode_reset(reset)
        self._send(data, address)
        self._log.write(
            FLOW_RESET,
            flow=str(reset.flow),
            reason=reset.reason,
            endpoint=reset.endpoint,
            request=request,
            held_ms=_milliseconds(held_s),
            **self._capacity_fields(reset, now),
            **self._state_fields(now),
        )

    def _capacity_fields(self, reset: Reset, now: float) -> dict[str, object]:
        """Returns the fields that explain a refusal for lack of capacity."""
        if not reset.service:
            return {}
        status = self._steering.admission.service_status(reset.service, now)
        if status is None:
            return {}
        return {
            "service": reset.service,
            "in_progress": status.in_progress,
            "credits": status.credits,
        }

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError:
            # The send queue is full or the address is unreachable. The client
            # or endpoint retransmits; the drop is counted.
            self._counters.add(c.DROPS, DropReason.SEND_FAILED)

    def _log_forward(
        self, segment: Segment, outcome: Forward, now: float, held_s: float
    ) -> None:
        if outcome.placed is not None:
            self._log.write(
                FLOW_PLACED,
                flow=str(segment.flow),
                endpoint=outcome.endpoint.name,
                reason=outcome.placed,
                copies=segment.syn_copies,
                held_ms=_milliseconds(held_s),
                **self._state_fields(now),
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

    def _log_drop(self, segment: Segment, outcome: Drop, now: float) -> None:
        self._log.write(
            SEGMENT_DROPPED,
            reason=outcome.reason,
            flow=str(segment.flow),
            token=segment.token,
            **self._state_fields(now),
        )

    def _state_fields(self, now: float) -> dict[str, object]:
        """Returns the log fields for the version and age of the data in use."""
        table = self._steering.table
        return {
            "routes": table.version if table is not None else 0,
            "revision": self._steering.revision,
            "age_ms": _milliseconds(self._steering.age_s(now)),
        }


def _milliseconds(seconds: float) -> int:
    return int(min(seconds, 1e6) * 1000)
