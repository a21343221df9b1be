"""Clock, logging and shutdown helpers on the eventlet runtime."""
