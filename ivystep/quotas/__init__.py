"""Limits what each client account may use across all hosts together."""
