"""The gateway: serves the routes that the platform's operator configures."""
