"""Exchange of flow records between relays: replication and hand-over."""

from pollenmast import counters as c
from pollenmast.decisions._fleet import Fleet
from pollenmast.peers._envelope import OpenedEnvelope
from pollenmast.peers._kinds import MessageType
from pollenmast.peers._records import (
    FlowRecord,
    RecordAction,
    unpack_records,
)
from pollenmast.relay._flows import Flow, FlowState
from pollenmast.relay._forwarder import FlowForwarder
from pollenmast.relay._outbox import (
    ACKNOWLEDGEMENT_BYTES,
    Outbox,
    split_batch,
)
from pollenmast.relay._peer_sender import PeerSender
from pollenmast.relay._replicas import Replicas

MAX_PREVIOUS_RELAYS = 300_000
"""Limit on taken-over flows whose previous relay still waits to be released.

A little more than the whole flow table of one relay.
"""


class RecordExchange:
    """The flow records that this relay stores, sends and takes over."""

    def __init__(
        self,
        fleet: Fleet,
        forwarder: FlowForwarder,
        peer_sender: PeerSender,
        bytes_per_s: float,
        counters: c.Counters,
    ):
        self._fleet = fleet
        self._forwarder = forwarder
        self._peer_sender = peer_sender
        self._counters = counters
        self._replicas = Replicas()
        self._outbox = Outbox(self._send_records, bytes_per_s, counters)
        self._previous_relays: dict[Flow, int] = {}
        self._handover_targets: dict[tuple[int, str, int], int] = {}

    @property
    def replicas(self) -> Replicas:
        """The records stored for other relays."""
        return self._replicas

    @property
    def outbox(self) -> Outbox:
        """The records being sent to other relays."""
        return self._outbox

    def replicate(self, flow: Flow, backup: int) -> None:
        """Stores the flow's record on a VM; deletes it from the previous VM.

        Args:
            flow: The flow.
            backup: Number of the VM that is to store the record, 0 for none.
        """
        if flow.backup and self._fleet.has_relay(flow.backup):
            self._outbox.add(flow.backup, record_of(flow, RecordAction.DELETE))
        flow.backup = backup
        if backup:
            self._outbox.add(backup, record_of(flow, RecordAction.REPLICATE))

    def replicate_to_owner(self, flow: Flow) -> None:
        """Sends the record of a flow owned by another VM to that VM.

        The flow may have opened here while its owner changed. The scan that
        informs owners after a change skips flows that are still opening. If
        the owner had no record and queried the wrong two VMs, it would forward
        the session's packets to the flow's default endpoint.
        """
        if not self._fleet.owns(flow.key):
            self.replicate(flow, self._fleet.backup(flow.key))

    def replicate_to_requester(self, flow: Flow, requester: int) -> None:
        """Stores the record on a VM that asked for it, to save more queries."""
        if flow.backup != requester and requester:
            self.replicate(flow, requester)

    def delete_record(self, flow: Flow) -> None:
        """Deletes the record of an ended flow from its backup VM."""
        self._previous_relays.pop(flow, None)
        if flow.backup:
            self._outbox.add(flow.backup, record_of(flow, RecordAction.DELETE))
            flow.backup = 0

    def hand_over(self, flow: Flow, owner: int) -> None:
        """Asks the new owner to take over the flow, unless already asked."""
        record = record_of(flow, RecordAction.TAKE_OVER)
        if self._handover_targets.get(record.key) == owner:
            return
        if self._outbox.add(owner, record):
            self._handover_targets[record.key] = owner

    def tick(self, now: float, urgent: bool) -> None:
        """Sends queued records.

        The next pass over the flow table offers undeliverable records again.

        Args:
            now: The runtime's clock, in seconds.
            urgent: Whether to ignore the byte budget, as a draining VM must.
        """
        undelivered: list[FlowRecord] = []
        for vm in self._outbox.destinations():
            if not self._fleet.has_relay(vm):
                undelivered.extend(self._outbox.drop_vm(vm))
        undelivered.extend(self._outbox.flush(now, urgent))
        for record in undelivered:
            self._handover_targets.pop(record.key, None)
            flow = self._flow(record)
            if flow is not None and record.flags == RecordAction.REPLICATE:
                flow.backup = 0

    def release_previous_relay(self, flow: Flow) -> None:
        """Releases the flow's previous relay: the upstream now answers here."""
        previous_relay = self._previous_relays.pop(flow, None)
        if previous_relay is not None:
            self._outbox.add(
                previous_relay, record_of(flow, RecordAction.CLOSE_OLD_PATH)
            )

    def on_records(self, opened: OpenedEnvelope, now: float) -> None:
        """Applies a batch of records and acknowledges it."""
        number, body = split_batch(opened.body)
        records = unpack_records(body)
        if records.is_err():
            self._counters.add(c.ENVELOPE_FAULTS, records.unwrap_err())
            return
        for record in records.unwrap():
            self._apply_record(record, opened.sender, now)
        self._counters.add(
            c.CONTROL_BYTES, "replication", ACKNOWLEDGEMENT_BYTES
        )
        self._peer_sender.send(opened.sender, MessageType.RECORDS_ACK, number)

    def _apply_record(
        self, record: FlowRecord, sender: int, now: float
    ) -> None:
        flow = self._discard_unconfirmed(self._flow(record), now)
        if record.flags == RecordAction.DELETE:
            self._replicas.forget(record, sender)
        elif record.flags == RecordAction.RELEASE:
            self._release(flow, record, sender, now)
        elif record.flags == RecordAction.CLOSE_OLD_PATH:
            self._forwarder.table.end_moved(record, now)
        elif flow is not None:
            self._resolve_second_holder(flow, record, sender, now)
        elif record.flags == RecordAction.TAKE_OVER:
            self._take_over(record, sender, now)
        else:
            self._replicas.keep(record, sender)

    def _discard_unconfirmed(
        self, flow: Flow | None, now: float
    ) -> Flow | None:
        """Ends an unconfirmed flow when a record of its real endpoint arrives.

        If the unconfirmed flow took precedence over the holder that reports
        the flow, the session would stay at an endpoint that does not know it.

        Returns:
            The flow, or None if there is none or it was unconfirmed.
        """
        if flow is not None and flow.state is FlowState.UNCONFIRMED:
            self._forwarder.table.end(flow, now)
            return None
        return flow

    def _take_over(self, record: FlowRecord, sender: int, now: float) -> None:
        listener = self._forwarder.table.listener_at(record.service_port)
        if listener is None:
            return
        flow = self._forwarder.adopt(
            listener,
            (record.ip, record.port),
            record.endpoint,
            c.RepathReason.TRANSFERRED,
            now,
        )
        if flow is not None:
            self._replicas.drop(record.service_port, flow.caller)
            self._add_previous_relay(flow, sender)

    def _add_previous_relay(self, flow: Flow, sender: int) -> None:
        if len(self._previous_relays) < MAX_PREVIOUS_RELAYS:
            self._previous_relays[flow] = sender
        if flow.state is FlowState.ESTABLISHED:
            self.release_previous_relay(flow)

    def _resolve_second_holder(
        self, flow: Flow, record: FlowRecord, sender: int, now: float
    ) -> None:
        """Decides which of two relays keeps a flow that both forward.

        This happens when the fleet was partitioned and both sides took the
        flow over. If both kept it, the session's path would alternate between
        them and the caller would see stalls. The flow's owner keeps it; the
        other relay still forwards late answers until its path is silent.
        """
        if record.flags == RecordAction.TAKE_OVER:
            self._add_previous_relay(flow, sender)
            return
        owner = self._fleet.owner(flow.key)
        if owner is not None and owner.number == sender:
            self._release(flow, record, sender, now)
            return
        self._outbox.add(sender, record_of(flow, RecordAction.RELEASE))

    def _release(
        self, flow: Flow | None, record: FlowRecord, sender: int, now: float
    ) -> None:
        self._replicas.keep(record, sender)
        if flow is not None:
            self._previous_relays.pop(flow, None)
            self._forwarder.release(flow, now)

    def on_records_acknowledged(
        self, opened: OpenedEnvelope, now: float
    ) -> None:
        """Handles a batch's acknowledgement; releases handed-over flows."""
        for record in self._outbox.pop_acknowledged(opened.body):
            if record.flags != RecordAction.TAKE_OVER:
                continue
            self._handover_targets.pop(record.key, None)
            flow = self._flow(record)
            if flow is not None:
                self._counters.add(c.TRANSFERS)
                self._release(flow, record, opened.sender, now)

    def _flow(self, record: FlowRecord) -> Flow | None:
        listener = self._forwarder.table.listener_at(record.service_port)
        if listener is None:
            return None
        return listener.flows.get((record.ip, record.port))

    def _send_records(self, vm: int, body: bytes) -> None:
        self._peer_sender.send(vm, MessageType.RECORDS, body)


def record_of(flow: Flow, flag: int) -> FlowRecord:
    """Returns the record of a flow that this relay forwards."""
    ip, port = flow.caller
    service_port = flow.listener.service.port
    return FlowRecord(service_port, ip, port, flow.target.number, flag)
