"""The agent process: control plane of one VM.

It follows the manifest, maintains fleet membership, probes upstream endpoints
and serves the operators' HTTP endpoint.
"""

from pollenmast.agent._program import run

__all__ = ["run"]
