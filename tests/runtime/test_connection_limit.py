"""Tests which connections of callers are closed at their limit."""

import eventlet

from ivystep.runtime import clock, connection_limit, virtual_hub

LIMIT = 4


class Connection:
    """An open connection that ends as it is closed or refused."""

    def __init__(
        self,
        opened,
        idle_since=None,
        receiving_since=None,
        *,
        is_new=False,
        is_lingering=False,
    ):
        self.opened = opened
        self.idle_since = idle_since
        self.receiving_since = receiving_since
        self.is_new = is_new
        self.is_lingering = is_lingering
        self.is_refused = False
        self.opened_at = clock.now()
        self.is_last_answer = False
        opened.append(self)

    def is_receiving_for(self, seconds):
        if self.receiving_since is None:
            return False
        return clock.now() >= self.receiving_since + seconds

    def refuse_for_room(self):
        self.is_refused = True
        self.opened.remove(self)

    def close_after_next_answer(self):
        self.is_last_answer = True

    def stop_lingering(self):
        self.opened.remove(self)

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


def wait_for_room(*connections, after_s=100):
    """Return the connections that are left once there is room for one."""

    def scenario():
        opened = []
        clock.sleep(after_s)
        for options in connections:
            Connection(opened, **options)
        made = list(opened)
        limit = connection_limit.ConnectionLimit(LIMIT, Listener())
        limit.wait_for_room(opened)
        return [made.index(one) for one in opened], made

    return virtual_hub.run(scenario)


def test_longest_incomplete_request_is_refused_for_a_new_caller():
    """Guards against connections that callers hold by incomplete requests."""
    left, made = wait_for_room(
        {},
        {'receiving_since': 90},
        {'receiving_since': 70},
        {'receiving_since': 80},
    )
    assert left == [0, 1, 3]
    assert [one.is_refused for one in made] == [False, False, True, False]


def test_idle_connection_goes_before_an_incomplete_request():
    """Guards against a refusal where a connection serves nobody."""
    left, _ = wait_for_room(
        {}, {'receiving_since': 70}, {'idle_since': 98}, {'idle_since': 97}
    )
    assert left == [0, 1, 2]


def test_request_that_has_just_begun_is_not_refused():
    """Guards against refusing callers whose request arrives in two parts."""

    def scenario():
        opened = []
        clock.sleep(100)
        for _ in range(LIMIT):
            Connection(opened, receiving_since=clock.now())
        limit = connection_limit.ConnectionLimit(LIMIT, Listener())
        eventlet.spawn(limit.wait_for_room, opened)
        clock.sleep(connection_limit.MIN_RECEIVING_S / 2)
        assert len(opened) == LIMIT
        clock.sleep(connection_limit.MIN_RECEIVING_S)
        assert len(opened) == LIMIT - 1

    virtual_hub.run(scenario)


def test_connection_that_has_never_sent_a_request_goes_sooner():
    """Guards against silent connections that keep callers out for long."""

    def scenario():
        opened = []
        clock.sleep(100)
        for number in range(LIMIT):
            Connection(opened, idle_since=clock.now(), is_new=number == 1)
        kept = opened[:1] + opened[2:]
        limit = connection_limit.ConnectionLimit(LIMIT, Listener())
        eventlet.spawn(limit.wait_for_room, opened)
        clock.sleep(connection_limit.MIN_IDLE_S / 2)
        assert opened == kept

    virtual_hub.run(scenario)


def test_answered_connection_does_not_linger_at_the_limit():
    """Guards against refused callers who hold their connections open."""
    left, _ = wait_for_room({}, {}, {'is_lingering': True}, {})
    assert left == [0, 1, 3]


def test_connections_open_for_longest_close_after_their_answers():
    """Guards against callers whose kept connections keep others out."""

    def scenario():
        opened = []
        for _ in range(LIMIT):
            Connection(opened)
            clock.sleep(100)
        limit = connection_limit.ConnectionLimit(LIMIT, Listener())
        waiting = eventlet.spawn(limit.wait_for_room, opened)
        clock.sleep(1.5 * connection_limit.POLL_S)
        ending = [one.is_last_answer for one in opened]
        opened.pop(0)
        waiting.wait()
        return ending

    assert virtual_hub.run(scenario) == [True, True, False, False]


def test_no_connection_ends_while_another_makes_room():
    """Guards against callers who must connect again without need."""
    _, made = wait_for_room({}, {}, {'idle_since': 98}, {'idle_since': 97})
    assert not any(one.is_last_answer for one in made)
    _, made = wait_for_room({}, {}, {'receiving_since': 80}, {})
    assert not any(one.is_last_answer for one in made)
