"""Towards operators: status, metrics, health and readiness over HTTP."""
