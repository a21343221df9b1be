"""Client accounts of the gateway: who sends a request and what it may do."""
