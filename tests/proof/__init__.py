"""Stateful property tests of a whole fleet under injected faults.

Consists of Hypothesis state machines that inject faults, an oracle that checks
the invariants, and mutations that show that the checks detect missing code.
"""
