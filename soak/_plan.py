"""Parameters and result of a soak run."""

import attrs


@attrs.frozen
class Plan:
    """The parameters of a run.

    Attributes:
        seed: The seed from which the faults are drawn.
        seconds: How long callers send requests.
        vms: The number of VMs.
        clients: The number of clients for each route.
        module: The module to run as a VM's program, followed by its arguments.
    """

    seed: int
    seconds: float = 22.0
    vms: int = 6
    clients: int = 6
    module: tuple[str, ...] = ("pollenmast.platform",)


@attrs.define
class Result:
    """The result of a run.

    Attributes:
        requests: The number of requests sent.
        answered: The number of requests that got a response.
        faults: The number of faults injected.
        broken: A description of each invariant violation.
    """

    requests: int
    answered: int
    faults: int
    broken: list[str]
