"""Handles the requests of callers: from the connection to the answer."""
