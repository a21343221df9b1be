"""Stand-ins of clients, servers and the platform, with the standard library."""
