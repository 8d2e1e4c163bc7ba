"""Pollenmast: a layer-4 load balancer whose fleet follows a manifest."""

from pollenmast._version import VERSION

__all__ = ["VERSION"]
