"""The relay program: forwards packets between callers and upstreams."""

from pollenmast.relay._program import run

__all__ = ["run"]
