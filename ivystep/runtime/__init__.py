"""Clock, logging and task helpers on the eventlet runtime."""
