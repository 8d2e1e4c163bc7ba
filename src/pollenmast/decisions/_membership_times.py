"""Constants and time-outs of the membership protocol."""

import attrs

INDIRECT_PINGS = 3
"""Members asked for an indirect ping of a member that did not answer. All three
fail only if the cause lies with that member or with the local VM."""

URGENT_FANOUT = 3
"""Members that are sent an urgent update immediately. Each of them forwards it
to three more, so nine VMs have it within two or three one-way delays."""

REFRESH_PEERS = 3
"""Members pinged when the local view may be stale."""

REFRESH_SYNCS = 2
"""Peers whose member tables are requested in one refresh. With two, one answer
may be lost."""

MAX_JOIN_PINGS = 8
"""Maximum number of VMs from the platform's list or the seeds to ping at once.
One answer is enough to learn of all other VMs, so the limit can stay small in
a large fleet."""

PAGE_BYTES = 800
"""Maximum size of the member updates in one page of a sync or one push, in
bytes. With the longest names the sender takes another 360 bytes, and a message
body holds 1,200; receivers drop a longer message as a whole."""


@attrs.frozen
class Times:
    """Intervals and time-outs of membership, in seconds.

    All of them are derived from the heartbeat interval. At the default of
    0.5 s a killed VM is pinged within a second (by its predecessor at the
    latest), becomes suspect 0.35 s later and is declared dead another 0.7 s
    later; all other VMs agree within a few milliseconds. The tests' model with
    nine members, over 100 seeds, detects a killed VM after 1.43 s on average,
    1.94 s at the 95th percentile and 2.09 s at most. With random pings alone
    the figures are 1.58 s, 2.91 s and 3.33 s.

    Attributes:
        heartbeat: Interval between two pings sent by the local VM.
        direct_timeout: Time to wait for an ack before indirect pings are
            requested. 150 ms is fifty round trips between availability zones,
            and more than the scheduling delay of a busy small VM.
        total_timeout: Total time to wait for an ack. What remains of it after
            `direct_timeout` is for the indirect path, which takes two round
            trips.
        suspicion_timeout: Time after which a suspect member that has not
            refuted is declared dead. A refutation takes three one-way delays
            and one scheduling delay; with a shorter time-out, a paused process
            would lose its flows.
        lease: Time without running or without a message from a peer after
            which the local view may be stale, because the others have
            declared the local VM dead by then.
        refresh_timeout: Maximum duration of a refresh. A VM that receives no
            answer is cut off and continues with the VMs that it reaches.
        join_interval: Interval between two attempts to join while no live
            member is known.
        dead_retry_interval: Interval between two pings of dead members. A
            healed partition is detected after about this time, divided by the
            number of VMs that send such pings.
        removal_delay: Time after which a dead member that the platform no
            longer lists is removed. It exceeds the time for which updates
            about the member circulate.
        pause_threshold: Delay of a timer that shows that this process was
            paused, so that other members must not be suspected for it.
    """

    heartbeat: float = 0.5

    @property
    def direct_timeout(self) -> float:
        return 0.3 * self.heartbeat

    @property
    def total_timeout(self) -> float:
        return 0.7 * self.heartbeat

    @property
    def suspicion_timeout(self) -> float:
        return 1.4 * self.heartbeat

    @property
    def lease(self) -> float:
        return 4 * self.heartbeat

    @property
    def refresh_timeout(self) -> float:
        return 2 * self.heartbeat

    @property
    def join_interval(self) -> float:
        return 2 * self.heartbeat

    @property
    def dead_retry_interval(self) -> float:
        return 4 * self.heartbeat

    @property
    def removal_delay(self) -> float:
        return 120 * self.heartbeat

    @property
    def pause_threshold(self) -> float:
        return 0.2 * self.heartbeat
