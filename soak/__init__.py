"""Randomized soak tests that run the real programs and inject faults.

The programs run as processes of their own. A soak checks what callers and
endpoints observe while VMs are stopped, frozen, killed and restarted, while
connections to the store are slowed, reset or silenced, while the store itself
fails, and while endpoints start, leave, crash and reuse each other's addresses.
"""
