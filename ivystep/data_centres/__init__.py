"""Decides which share of its requests a data centre sends to others."""
