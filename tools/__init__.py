"""Build and measurement tools for developers."""
