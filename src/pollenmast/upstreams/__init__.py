"""Towards the upstreams: paths for flows, and probes of health and load."""
