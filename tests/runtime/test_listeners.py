"""Tests listeners under errors of the system."""

import contextlib
import errno
import fcntl
import os
import socket
import struct
import termios

import eventlet
import pytest

from ivystep.runtime import clock, listener_events, listeners, virtual_hub

ADDRESS = ('127.0.0.1', 1)


class Socket:
    """A listening socket whose ``accept`` raises errors, then accepts."""

    def __init__(self, *failures):
        self.failures = list(failures)
        self.accepted = 0
        self.is_closed = False

    def accept(self):
        self.accepted += 1
        if self.failures:
            raise OSError(self.failures.pop(0), 'accept')
        return 'connection', ('peer', 2)

    def settimeout(self, seconds):
        pass

    def detach(self):
        pass

    def close(self):
        self.is_closed = True


class Kernel:
    """Opens sockets or raises errors, one by one."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.tries = 0

    def listen(self, address, family, backlog, *, reuse_port):
        self.tries += 1
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, int):
            raise OSError(outcome, os.strerror(outcome))
        return outcome


@pytest.fixture
def play(monkeypatch):
    """Return a function that accepts one connection on a virtual clock."""

    def run(*outcomes):
        reported = []
        kernel = Kernel(*outcomes)
        monkeypatch.setattr(eventlet, 'listen', kernel.listen)

        def scenario():
            listener = listeners.Listener.open(
                'callers', ADDRESS, reported.append
            )
            assert listener.accept()[0] == 'connection'
            return clock.now()

        return virtual_hub.run(scenario), reported, kernel

    return run


@pytest.mark.parametrize('number', sorted(listeners.OPEN_RETRY_ERRORS))
def test_address_is_tried_again_until_it_is_free(play, number):
    """Guards against an end of the process, and a line for each try."""
    waited_s, reported, _ = play(*[number] * 20, Socket())
    assert [type(event) for event in reported] == [
        listener_events.AddressUnavailable,
        listener_events.AddressOpened,
    ]
    assert (reported[0].purpose, reported[0].address) == (
        'callers',
        '127.0.0.1:1',
    )
    assert waited_s <= 20 * listeners.OPEN_RETRY_S


def test_address_that_can_never_be_used_ends_the_start(play):
    """Guards against a wrong setting that only a log line tells."""
    with pytest.raises(PermissionError):
        play(errno.EACCES)


@pytest.mark.parametrize(
    'number',
    [
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
    ],
)
def test_listener_outlives_errors_of_accept(play, number):
    """Guards against a port that is closed for good after an exhaustion."""
    opened = Socket(*[number] * 500)
    waited_s, reported, kernel = play(opened)
    assert kernel.tries == 1
    assert not opened.is_closed
    failed = [
        event
        for event in reported
        if isinstance(event, listener_events.AcceptFailed)
    ]
    assert sum(event.failures for event in failed) == 500
    # One line in a period, and one at its end.
    assert len(failed) <= waited_s / listeners.FAILURE_REPORT_S + 2


@pytest.mark.parametrize('number', sorted(listeners.LOST_ERRORS))
def test_socket_that_was_lost_is_opened_again(play, number):
    """Guards against a process that lives on without one of its ports."""
    _, reported, kernel = play(Socket(number), Socket())
    assert kernel.tries == 2
    assert [type(event) for event in reported] == [listener_events.ListenerLost]


def test_socket_that_is_closed_by_its_number_is_opened_again():
    """Guards against an accept that waits on a descriptor of another."""
    reported = []
    listener = listeners.Listener.open(
        'callers', ('127.0.0.1', 0), reported.append
    )
    listener._address = listener.getsockname()
    accepting = eventlet.spawn(listener.accept)
    eventlet.sleep(0)
    os.close(listener._socket.fileno())
    with eventlet.Timeout(5):
        while not reported:
            eventlet.sleep(0.05)
        with contextlib.closing(
            socket.create_connection(listener.getsockname())
        ):
            accepting.wait()[0].close()
    listener.close()


def test_closed_listener_ends_the_task_that_accepts():
    """Guards against a task that takes connections of a later socket."""
    listener = listeners.Listener.open(
        'callers', ('127.0.0.1', 0), lambda event: None
    )
    accepting = eventlet.spawn(listener.accept)
    eventlet.sleep(0)
    listener.close()
    with eventlet.Timeout(3), pytest.raises(listeners.ListenerClosedError):
        accepting.wait()


def test_port_of_another_process_is_not_shared():
    """Guards against two processes that each get a part of the connections."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(('127.0.0.1', 0))
        address = probe.getsockname()
    first = listeners.Listener.open('callers', address, lambda event: None)
    second = listeners.Listener.open('callers', address, lambda event: None)
    assert (first.is_open, second.is_open) == (True, False)
    first.close()
    with eventlet.Timeout(2):
        second.wait_until_open()
    second.close()


@pytest.mark.parametrize('unread_bytes', [8192, 65536])
@pytest.mark.parametrize('is_accepted', [True, False])
def test_unread_bytes_of_a_connection_are_bounded(unread_bytes, is_accepted):
    """Guards against memory that the kernel takes for what nobody reads."""
    listener = listeners.Listener.open(
        'callers', ('127.0.0.1', 0), print, unread_bytes=unread_bytes
    )
    with (
        contextlib.closing(listener),
        contextlib.closing(socket.socket()) as peer,
    ):
        peer.connect(listener.getsockname())
        accepted = listener.accept()[0] if is_accepted else None
        peer.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                peer.send(b'x' * 65536)
        eventlet.sleep(0.3)
        if accepted is None:
            accepted = listener.accept()[0]
        with contextlib.closing(accepted):
            unread = struct.pack('i', 0)
            unread = fcntl.ioctl(accepted.fileno(), termios.FIONREAD, unread)
        assert 0 < struct.unpack('i', unread)[0] <= unread_bytes
