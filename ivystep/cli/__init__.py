"""Command line: runs the processes and the operators' commands."""
