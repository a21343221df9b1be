"""Defines factors for unit conversion."""

MS_PER_S = 1000
KIB = 1024
MIB = 1024 * KIB
