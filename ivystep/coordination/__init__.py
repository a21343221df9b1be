"""Coordination components that can be used without the daemons."""
