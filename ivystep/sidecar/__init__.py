"""The sidecar daemon, which runs on the host of one upstream."""
