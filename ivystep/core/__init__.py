"""Core data types, identifiers and errors shared by every package."""
