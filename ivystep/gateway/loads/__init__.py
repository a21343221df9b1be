"""Elects the leader, which plans and orders the loads of engines."""
