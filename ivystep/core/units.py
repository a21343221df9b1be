"""Constants of units."""

MS_PER_S = 1000
KIB = 1024
MIB = 1024 * KIB
