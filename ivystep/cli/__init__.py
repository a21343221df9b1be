"""Command line."""

DESCRIPTION = 'Shared serving layer for very many LoRA adapters.'
