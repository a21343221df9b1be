"""Knows the upstreams and keeps the connections to them."""
