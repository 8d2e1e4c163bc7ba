"""The agent program: manifest, membership, probes and operators' endpoint."""

from pollenmast.agent._program import run

__all__ = ["run"]
