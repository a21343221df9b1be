"""Tests of the developers' tools."""
