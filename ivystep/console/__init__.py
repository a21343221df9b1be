"""The operators' console."""
