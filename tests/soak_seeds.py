"""Reads the regression seeds of the soaks."""

import pathlib


def load_seeds(name: str) -> list[tuple[str, int]]:
    """Returns the seeds in a file, each with a name for its test case."""
    lines = (pathlib.Path(__file__).parent / name).read_text().splitlines()
    seeds = [int(line.split("|")[0]) for line in lines if line[:1].isdigit()]
    return [(f"seed_{seed}", seed) for seed in seeds]
