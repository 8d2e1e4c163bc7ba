"""Control cost of a VM, and propagation times of changes in the fleet."""

import statistics
import sys
import time

from bench import _control_fleet as fleets

NAME = "control"
DESCRIPTION = "Agents: processor, memory, bytes; deaths and manifests in time."

SIZES = (3, 9, 18)
WINDOW_S = 15.0
KILLS = 3
PUBLICATIONS = 5
LARGE_BYTES = 900_000


def run() -> dict:
    """Returns the figures for fleets of several sizes."""
    return {
        "cost": {str(size): _steady_cost(size) for size in SIZES},
        "nine": _change_figures(9),
    }


def _wait_until_joined(fleet: fleets.Fleet) -> bool:
    size = len(fleet.agents)
    started = [agent for agent in fleet.agents if agent.process]

    def met() -> bool:
        try:
            statuses = [agent.status() for agent in started]
        except OSError:
            return False
        return all(
            status["vm"]["ready"] and len(status["members"]) >= size
            for status in statuses
        )

    return fleet.wait_until(met)


def _steady_cost(size: int) -> dict:
    with fleets.Fleet(size) as fleet:
        joined = _wait_until_joined(fleet)
        time.sleep(3.0)
        calls = fleet.platform_admin("/calls")["calls"]
        before = [agent.usage() for agent in fleet.agents]
        began = time.monotonic()
        time.sleep(WINDOW_S)
        after = [agent.usage() for agent in fleet.agents]
        spent = time.monotonic() - began
        calls = fleet.platform_admin("/calls")["calls"] - calls
        reference = _reference_loop_ms()
        cpu = [
            (b.cpu_s - a.cpu_s) / spent * 100
            for a, b in zip(before, after, strict=True)
        ]
        sent = [
            {
                kind: (value - a.sent_bytes.get(kind, 0)) / spent
                for kind, value in b.sent_bytes.items()
            }
            for a, b in zip(before, after, strict=True)
        ]
        totals = [sum(each.values()) for each in sent]
        return {
            "joined": joined,
            "reference_loop_ms": reference,
            "cpu_percent_mean": round(statistics.mean(cpu), 2),
            "cpu_percent_greatest": round(max(cpu), 2),
            "rss_mb_greatest": round(max(u.rss_mb for u in after), 1),
            "bytes_per_s_mean": round(statistics.mean(totals)),
            "bytes_per_s_greatest": round(max(totals)),
            "bytes_per_s_by_kind": {
                kind: round(statistics.mean(each.get(kind, 0) for each in sent))
                for kind in sent[0]
            },
            "platform_calls_per_s": round(calls / spent, 2),
            "load_age_s": _load_ages(fleet, began),
        }


def _load_ages(fleet: fleets.Fleet, since: float) -> dict:
    """Returns the age of endpoint load data in the relays' views, in s."""
    events = [event for event in list(fleet.events) if event["at"] > since]
    ages = sorted(age for event in events for age in event.get("ages", ()))
    if not ages:
        return {}
    return {
        "median": ages[len(ages) // 2],
        "p99": ages[len(ages) * 99 // 100],
        "greatest": ages[-1],
    }


def _reference_loop_ms() -> float:
    """Returns the CPU time of a fixed loop, for comparing machines.

    The same work takes more CPU time on a machine that others use too.
    """
    began = time.process_time()
    total = 0
    for number in range(1_000_000):
        total += number * number
    return round((time.process_time() - began) * 1000, 1)


def _change_figures(size: int) -> dict:
    with fleets.Fleet(size) as fleet:
        figures = {"joined": _wait_until_joined(fleet)}
        time.sleep(2.0)
        version = 2
        times = []
        for _ in range(PUBLICATIONS):
            times.append(_publish_time(fleet, version, 0))
            version += 1
            time.sleep(0.7)
        figures["manifest_s"] = times
        figures["manifest_large_s"] = _publish_time(fleet, version, LARGE_BYTES)
        figures["restart_platform_down_s"] = _restart_time(fleet, version)
        figures["single_peer_s"] = _single_peer_time(fleet, version)
        figures["killed_s"] = [_detection_times(fleet, n) for n in range(KILLS)]
        return figures


def _publish_time(
    fleet: fleets.Fleet, version: int, padding: int
) -> float | None:
    """Returns seconds until the last relay has the manifest, or None."""
    began = time.monotonic()
    fleet.publish(version, padding)
    size = len(fleet.agents)
    if not fleet.wait_until(
        lambda: len(fleet.first_event_times(version=version)) == size
    ):
        return None
    return round(
        max(fleet.first_event_times(version=version).values()) - began, 3
    )


def _restart_time(fleet: fleets.Fleet, version: int) -> float | None:
    """Returns seconds until a restarted VM has the fleet's manifest.

    The platform is down meanwhile, so the manifest comes from other VMs.
    """
    fleet.platform_admin("/fault", b'{"mode": "down"}')
    agent = fleet.agents[-1]
    agent.send_signal(fleets.KILL)
    agent.process.wait()
    time.sleep(3.0)
    began = time.monotonic()
    fleet.start(agent)

    def met() -> bool:
        try:
            return agent.status()["manifest"]["version"] == version
        except OSError:
            return False

    return round(time.monotonic() - began, 3) if fleet.wait_until(met) else None


def _single_peer_time(fleet: fleets.Fleet, version: int) -> dict:
    """Restarts all VMs but one while the platform is down.

    Returns:
        Seconds until all have the manifest, None on timeout, and the result of
        waiting until all have joined again.
    """
    for agent in fleet.agents[1:]:
        agent.send_signal(fleets.KILL)
        agent.process.wait()
    time.sleep(0.5)
    began = time.monotonic()
    for agent in fleet.agents[1:]:
        fleet.start(agent)

    def met() -> bool:
        try:
            return all(
                agent.status()["manifest"]["version"] == version
                for agent in fleet.agents
            )
        except OSError:
            return False

    met_in_time = fleet.wait_until(met)
    spent = round(time.monotonic() - began, 3)
    fleet.platform_admin("/fault", b'{"mode": "ok"}')
    return {
        "s": spent if met_in_time else None,
        "joined": _wait_until_joined(fleet),
    }


def _detection_times(fleet: fleets.Fleet, n: int) -> dict | None:
    """Returns how long other VMs consider a killed VM alive, in seconds."""
    time.sleep(2.0)
    agent = fleet.agents[n + 1]
    fleet.events.clear()
    began = time.monotonic()
    agent.send_signal(fleets.KILL)
    others = len(fleet.agents) - 1

    def told() -> dict[str, float]:
        times = fleet.first_event_times(gone=agent.name)
        times.pop(agent.name, None)
        return times

    met = fleet.wait_until(lambda: len(told()) >= others)
    agent.process.wait()
    times = [at - began for at in told().values()]
    fleet.start(agent)
    _wait_until_joined(fleet)
    if not met:
        return None
    return {"first": round(min(times), 2), "last": round(max(times), 2)}


if __name__ == "__main__":
    import json

    json.dump(run(), sys.stdout, indent=1)
