"""An independent review: cases, each with a check that fails, and a report."""
