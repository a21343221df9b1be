"""Follows the tables of the platform's store and writes rows to it."""
