"""Settings of each process: an INI file validated by pydantic models."""
