"""INI settings of a process, validated by models."""
