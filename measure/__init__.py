"""Measurements of the decision code on a virtual clock."""
