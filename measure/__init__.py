"""Measurements of pools, failure detectors and the entry's data path."""
