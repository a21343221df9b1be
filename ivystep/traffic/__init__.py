"""Records of requests, answers, routes and upstreams, without wire formats."""
