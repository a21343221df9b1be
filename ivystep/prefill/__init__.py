"""Prefill of prompts at engines: estimates, pace and forecasts; no I/O."""
