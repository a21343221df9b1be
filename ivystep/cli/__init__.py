"""Command line.

Eventlet replaces the standard library's blocking calls here, before any other
module of the program is imported: replacing them later has to search all
objects for locks, and fails at pydantic's lazily built models.
"""

import eventlet

eventlet.monkey_patch()
