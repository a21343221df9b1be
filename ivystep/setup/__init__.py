"""The setup: its document, compiled form, storage and changes."""
