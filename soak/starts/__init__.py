"""Starts and stops real processes beside disturbances of their surroundings."""
