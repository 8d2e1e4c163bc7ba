"""When a flow that went silent gets a new path to its endpoint.

Something between a relay and an upstream (a stateful firewall, say) may lose
track of a flow: the caller sends, nothing returns, though the endpoint answers
others. The user sees a session that hangs for good while new ones work. A new
local port is a new path for whatever lost the old one, and QUIC carries the
session over to it (RFC 9000 section 9).

An endpoint that answers nobody is not silent flows but a failed endpoint; a
new path would not help it, and thousands of them at once would make the
failure worse. Hence the evidence from other flows, and the budget.
"""

UNANSWERED_DATAGRAMS = 3
"""Datagrams without an answer; fewer may be loss or an idle upstream."""

SILENT_S = 1.5
"""Time without an answer. A live QUIC peer answers a probe within its maximum
ack delay (25 ms) and a round trip; a caller's probes double from about 0.3 s,
so by 1.5 s three of them went unanswered."""

NEXT_TRY_S = 5.0
"""Time before the same flow is moved again: one idle probe interval."""

PER_SECOND = 20.0
BURST = 200.0
"""Budget of moves for one relay: a firewall that lost its whole table moves
2,000 flows in about 90 s; callers' idle timeouts are 60 s and more, and the
first 200 move at once."""


def is_silent(
    unanswered: int,
    since_answer_s: float,
    since_caller_s: float,
    endpoint_answers: bool,
) -> bool:
    """Returns whether a flow's path seems lost.

    Args:
        unanswered: Datagrams of the caller since the last answer.
        since_answer_s: Seconds since the last answer or the last move.
        since_caller_s: Seconds since the caller's last datagram.
        endpoint_answers: Whether the endpoint answered another flow lately.
    """
    return (
        endpoint_answers
        and unanswered >= UNANSWERED_DATAGRAMS
        and since_answer_s >= SILENT_S
        and since_caller_s < SILENT_S
    )
