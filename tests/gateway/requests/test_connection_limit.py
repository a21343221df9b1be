"""Tests which connections of callers are closed at their limit."""

import eventlet

from ivystep.gateway.requests import connection_limit
from ivystep.runtime import clock, virtual_hub

LIMIT = 4


class Connection:
    """An open connection that ends as it is closed."""

    def __init__(self, opened, idle_since=None):
        self.opened = opened
        self.idle_since = idle_since
        opened.append(self)

    def is_idle_for(self, seconds):
        if self.idle_since is None:
            return False
        return clock.now() >= self.idle_since + seconds

    def close_if_idle(self):
        self.opened.remove(self)


class Listener:
    """Records what is reported."""

    purpose = 'callers'
    is_open = True

    def __init__(self):
        self.reported = []

    def report(self, event):
        self.reported.append(event)


def test_longest_idle_connection_is_closed_first():
    """Guards against a new caller that waits for connections without use."""

    def scenario():
        clock.sleep(100)
        opened = []
        for idle_since in (60, 20, None, 40):
            Connection(opened, idle_since)
        limit = connection_limit.ConnectionLimit(LIMIT, Listener())
        limit.wait_for_room(opened)
        return [connection.idle_since for connection in opened]

    assert virtual_hub.run(scenario) == [60, None, 40]


def test_connections_in_use_are_not_closed():
    """Guards against requests that are cut off for new callers."""

    def scenario():
        opened = []
        clock.sleep(100)
        for _ in range(LIMIT):
            Connection(opened)
        # It has just been opened, so its request may be under way.
        Connection(opened, clock.now())
        listener = Listener()
        limit = connection_limit.ConnectionLimit(LIMIT, listener)
        waiting = eventlet.spawn(limit.wait_for_room, opened)
        clock.sleep(0.9)
        assert len(opened) == LIMIT + 1
        clock.sleep(60)
        assert len(opened) == LIMIT
        assert not waiting.dead
        # A line for each try would fill the log.
        assert len(listener.reported) <= 7
        opened.pop()
        waiting.wait()

    virtual_hub.run(scenario)
