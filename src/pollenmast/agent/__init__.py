"""The agent program: manifest, membership, probes and operators' endpoint."""
