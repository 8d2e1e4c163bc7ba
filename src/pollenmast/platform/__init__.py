"""Towards the platform: the manifest and the list of VMs, read and watched."""
