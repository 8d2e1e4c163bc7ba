"""Decides when a flow without answers moves to a new path to its endpoint.

A device between a relay and an upstream, such as a stateful firewall, may lose
its state for a flow. The caller's datagrams then get no answer although the
endpoint answers other flows. The user sees a session that hangs permanently
while new sessions work. A new local port makes a new path through the device,
and QUIC migrates the session to it (RFC 9000 section 9).

An endpoint that answers no flow at all has failed. New paths would not help,
and thousands of them at once would make the failure worse. A move therefore
requires that another flow was answered, and a budget limits the rate of moves.
"""

UNANSWERED_DATAGRAMS = 3
"""Minimum number of unanswered datagrams. Fewer may be due to packet loss or an
idle upstream."""

SILENT_S = 1.5
"""Minimum time without an answer, in seconds. A live QUIC peer answers a probe
within its maximum ack delay (25 ms) and a round trip. The interval between a
caller's probes doubles from about 0.3 s, so three probes have gone unanswered
by 1.5 s."""

MOVE_INTERVAL_S = 5.0
"""Minimum time between two moves of the same flow, in seconds: one idle probe
interval."""

MOVES_PER_S = 20.0
MOVE_BURST = 200.0
"""Moves per second and maximum burst of moves of one relay. If a firewall loses
its whole state table, 2,000 flows are moved in about 90 s, the first 200 of
them at once. The idle time-outs of callers are 60 s and more."""


def is_silent(
    unanswered: int,
    since_answer_s: float,
    since_caller_s: float,
    endpoint_answers: bool,
) -> bool:
    """Returns whether a flow's path to its endpoint appears to be lost.

    Args:
        unanswered: Number of the caller's datagrams since the last answer.
        since_answer_s: Time since the last answer or the last move, in
            seconds.
        since_caller_s: Time since the caller's last datagram, in seconds.
        endpoint_answers: Whether the endpoint recently answered another flow.
    """
    return (
        endpoint_answers
        and unanswered >= UNANSWERED_DATAGRAMS
        and since_answer_s >= SILENT_S
        and since_caller_s < SILENT_S
    )
