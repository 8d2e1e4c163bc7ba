"""The figures of membership, and the grounds for each."""

import attrs

INDIRECT = 3
"""Members asked to ping one that did not answer. Three of them lose the same
way only when the member, or this VM, is the cause."""

URGENT = 3
"""Members told at once of urgent news. Each of them tells three in turn, so
nine VMs know within two or three one-way times."""

REFRESH_PEERS = 3
"""Members asked when this VM may be stale."""

REFRESH_SYNCS = 2
"""Peers whose members are taken in one refresh; one answer may get lost."""

GREETED = 8
"""VMs greeted at once from the platform's list or the seeds. One answer is
enough to learn all the others, so the bound may stay small in a large
fleet."""

PAGE_BYTES = 800
"""News of VMs in one page of a sync or one push. With the longest names its
sender takes 360 bytes more, and a body has 1,200; a longer message would be
dropped whole by whoever gets it."""


@attrs.frozen
class Times:
    """All times of membership, in seconds, from one heartbeat interval.

    At the default heartbeat of 0.5 s a killed VM is pinged within a second
    (by its predecessor at the latest), suspect 0.35 s later and dead another
    0.7 s later, everywhere within a few milliseconds of that. Over 100
    seeds of the tests' model with nine members: 1.43 s on average, 1.94 s at
    the 95th percentile, 2.09 s at most. Random pings alone: 1.58, 2.91, 3.33.

    Attributes:
        heartbeat: Between two pings of this VM.
        direct: Wait for an ack before others are asked. 150 ms is fifty
            round trips between availability zones, and more than a busy
            small VM's scheduling delay.
        total: Wait for an ack in all; the rest of it is for the indirect
            way, which takes two round trips.
        suspicion: A suspect that refutes nothing for so long is dead. A
            refutation takes three one-way times and one scheduling delay;
            shorter than that, a paused process would lose its flows.
        lease: A VM that did not run, or heard nobody, for so long may be
            stale: the others have declared it dead by now.
        refresh: Longest refresh; a VM that nobody answers is cut off and
            goes on with what it reaches.
        greet: Between two greetings while this VM knows nobody.
        retry_dead: Between two pings of a dead member. A healed cut is
            noticed after about this time, divided by the VMs that try.
        forget: A dead member that the platform no longer lists is
            forgotten after so long; longer than any news of it travels.
        late: A timer that runs so late says that this process was paused;
            others must not be blamed for it.
    """

    heartbeat: float = 0.5

    @property
    def direct(self) -> float:
        return 0.3 * self.heartbeat

    @property
    def total(self) -> float:
        return 0.7 * self.heartbeat

    @property
    def suspicion(self) -> float:
        return 1.4 * self.heartbeat

    @property
    def lease(self) -> float:
        return 4 * self.heartbeat

    @property
    def refresh(self) -> float:
        return 2 * self.heartbeat

    @property
    def greet(self) -> float:
        return 2 * self.heartbeat

    @property
    def retry_dead(self) -> float:
        return 4 * self.heartbeat

    @property
    def forget(self) -> float:
        return 120 * self.heartbeat

    @property
    def late(self) -> float:
        return 0.2 * self.heartbeat
