"""The entry daemon, which serves callers."""
