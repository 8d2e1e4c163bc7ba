"""Positions in the directory's sequence of changes."""

import attrs

EARLIER_EPOCH_REVISION = 0
"""Revision of state that stems from an earlier epoch. Directories count from
1, so it is older than any change of the current epoch."""


@attrs.frozen(order=True)
class Position:
    """A point in the directory's history, ordered by epoch, then revision.

    A directory restored from a copy continues to count from an older
    revision, so revisions of different epochs cannot be compared.

    Attributes:
        epoch: Increases each time the directory is restored from a copy.
        revision: The directory's count of changes within that epoch.
    """

    epoch: int = 0
    revision: int = 0
