"""Tests of certificates that are replaced while a process runs."""

import os

import eventlet
import pytest
import trustme

from ivystep.core import errors
from ivystep.wire import channel, listener, tls
from tests.wire import certificates


def serve(contexts):
    """Answer each message with itself; return the address."""

    def echo(link):
        while True:
            link.send(link.receive())

    listening = eventlet.listen(('127.0.0.1', 0))
    eventlet.spawn(listener.serve, listening, contexts, tls.ENTRY_NAME, echo)
    return listening.getsockname()


def request_version(address, contexts):
    message = channel.ttypes.SetupNotice(1)
    link = channel.Channel.connect(address, contexts, tls.ENTRY_NAME)
    try:
        return link.request(message, 2).version
    finally:
        link.close()


def test_replaced_certificates_are_used_without_a_restart(tmp_path):
    """Guards against a rotation that takes effect only after a restart."""
    old, new = trustme.CA(), trustme.CA()
    running = certificates.contexts(tmp_path, old, tls.ENTRY_NAME)
    address = serve(running)
    (tmp_path / 'old').mkdir()
    outdated = certificates.contexts(tmp_path / 'old', old, tls.ENTRY_NAME)
    assert request_version(address, outdated) == 1
    certificates.contexts(tmp_path, new, tls.ENTRY_NAME)
    for path in tmp_path.glob('*.pem'):
        # File systems with coarse timestamps could show the same time twice.
        os.utime(path, (2_000_000_000, 2_000_000_000))
    assert request_version(address, running) == 1
    with pytest.raises(errors.LinkError):
        request_version(address, outdated)


def test_damaged_certificates_leave_the_old_ones_in_use(tmp_path):
    """Guards against partly replaced files that disconnect a process."""
    running = certificates.contexts(tmp_path, trustme.CA(), tls.ENTRY_NAME)
    address = serve(running)
    assert request_version(address, running) == 1
    (tmp_path / f'{tls.ENTRY_NAME}.pem').write_text('half')
    assert request_version(address, running) == 1
