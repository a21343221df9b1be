"""Tests of the accept loop under transient errors."""

import errno

from ivystep.runtime import clock, virtual_hub
from ivystep.wire import listener


class Listener:
    """Raises errors of ``accept``, such as for want of descriptors."""

    def __init__(self):
        self.failures = [errno.EMFILE, errno.ECONNABORTED, errno.EBADF]
        self.accepted = 0

    def accept(self):
        self.accepted += 1
        number = self.failures.pop(0)
        raise OSError(number, 'accept')


def test_transient_errors_do_not_end_the_accept_loop():
    """Guards against a process that stops accepting connections."""

    def scenario():
        source = Listener()
        listener.serve(source, None, 'peer', None)
        return source.accepted, clock.now() > 0

    assert virtual_hub.run(scenario) == (3, True)
