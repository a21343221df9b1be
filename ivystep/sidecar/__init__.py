"""The sidecar daemon, which runs beside one upstream."""
