"""A randomized soak: real programs as processes, faults from outside them.

It checks what callers and endpoints see while VMs are stopped, frozen, killed
and restarted, their connections to the store are slowed, cut or silenced, the
store misbehaves, and endpoints come, leave, die and give their addresses on.
"""
