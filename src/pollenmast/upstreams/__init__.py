"""Communication with upstreams: UDP paths for flows, health and load probes."""
