"""What callers, the operator and upstreams exchange, free of wire formats."""
