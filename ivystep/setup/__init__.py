"""The setup document: validation, compiled form, storage."""
