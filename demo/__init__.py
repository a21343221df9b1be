"""The demo: the whole path as separate processes."""
