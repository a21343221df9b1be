"""Metrics registry and the operators' HTTP interface of a daemon."""
