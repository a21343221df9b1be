"""Divides a scarce resource fairly among client accounts."""
