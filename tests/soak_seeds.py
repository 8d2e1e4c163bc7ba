"""The kept seeds of the soaks."""

import pathlib


def kept(name: str) -> list[tuple[str, int]]:
    """Returns a file's seeds, which are played each time, with a name each."""
    lines = (pathlib.Path(__file__).parent / name).read_text().splitlines()
    seeds = [int(line.split("|")[0]) for line in lines if line[:1].isdigit()]
    return [(f"seed_{seed}", seed) for seed in seeds]
