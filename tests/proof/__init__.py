"""Proof of the whole: a machine of faults, an oracle, and mutations."""
