"""Runnable examples of the coordination library."""
