"""Helpers for relay tests with many callers and open sessions."""

from standins.memory import Net

CALLERS = [f"c{n}" for n in range(60)]
REPLICATION_WAIT_S = 4.0


def net_with_sessions(vms: int = 3, **settings) -> Net:
    """Returns a fleet where every caller has opened a session and sent data."""
    net = Net(vms=vms, **settings)
    for tag in CALLERS:
        net.open(tag)
        net.say(tag, "before")
    return net


def send_from_all(net: Net, text: str) -> None:
    """Sends a text from every caller."""
    for tag in CALLERS:
        net.say(tag, text)


def unexpected_runs(net: Net, *expected: str) -> dict[str, list[str]]:
    """Returns the callers whose session ran other texts, and those texts."""
    ran = {tag: net.sessions[tag].ran for tag in CALLERS}
    return {tag: texts for tag, texts in ran.items() if texts != [*expected]}


def unexpected_last(net: Net, expected: str) -> list[str]:
    """Returns the callers whose session ran another text last."""
    return [t for t in CALLERS if net.sessions[t].ran[-1] != expected]
