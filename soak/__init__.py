"""Injects faults into real processes and checks what callers are told."""
