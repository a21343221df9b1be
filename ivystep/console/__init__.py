"""Web console with which operators edit the setup."""
