"""Faults on real processes, and the check of what callers were told."""
