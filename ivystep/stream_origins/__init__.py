"""Keeps the service and software version at which resumable streams began."""
