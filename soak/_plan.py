"""What a run of the soak is asked for, and what it has shown."""

import attrs


@attrs.frozen
class Plan:
    """A run.

    Attributes:
        seed: Decides the faults.
        seconds: For how long callers ask.
        vms: How many VMs.
        clients: How many clients for each route.
        module: The program's module and arguments, without the interpreter.
    """

    seed: int
    seconds: float = 22.0
    vms: int = 6
    clients: int = 6
    module: tuple[str, ...] = ("pollenmast.platform",)


@attrs.define
class Result:
    """What a run has shown: counts, and every broken promise."""

    asked: int
    answered: int
    faults: int
    broken: list[str]
