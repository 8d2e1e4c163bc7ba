"""How far the news of a directory is known."""

import attrs

EARLIER_EPOCH = 0
"""Revision of what an earlier epoch told. Directories count from 1, so that it
is older than any news of the present one."""


@attrs.frozen(order=True)
class Position:
    """Orders news: by the directory's epoch, then by its revision.

    A directory that is restored from a copy counts on from an older revision,
    so revisions of different epochs say nothing about each other.

    Attributes:
        epoch: Grows each time the directory is restored from a copy.
        revision: The directory's count of changes in that epoch.
    """

    epoch: int = 0
    revision: int = 0
