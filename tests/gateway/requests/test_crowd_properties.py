"""Generated crowds of callers that stop, pipeline, leave and reset.

The account of their memory equals what is held at each turn of the event loop
and is bounded, whatever they send. For a longer run of this file
by hand:

    FUZZ_EXAMPLES=2000 python -m pytest FILE
"""

import contextlib
import dataclasses
import os
import socket

import eventlet
import hypothesis
from hypothesis import strategies as st

from ivystep.core import errors
from ivystep.gateway.requests import callers, shared_state
from ivystep.runtime import byte_budget, clock, listeners, memory_plan
from ivystep.traffic import contracts, http1
from tests.gateway import harness

FUZZ = hypothesis.settings(
    max_examples=int(os.environ.get('FUZZ_EXAMPLES', '60')),
    deadline=None,
    derandomize='FUZZ_EXAMPLES' not in os.environ,
)
MAX_BODY = 120_000
LIMIT_BYTES = 300_000
CONNECTIONS = 6
LIMITS = contracts.ClientLimits(
    max_header_bytes=2048,
    max_body_bytes=MAX_BODY,
    header_timeout_s=0.1,
    idle_timeout_s=0.1,
)
# One read beyond the limit, after which nobody has room, and what each
# connection may always have.
BOUND_BYTES = (
    LIMIT_BYTES
    + int(http1.READ_BYTES * byte_budget.GROWTH)
    + CONNECTIONS
    * (shared_state.ALWAYS_BUFFERED_BYTES + http1.REQUEST_OVERHEAD_BYTES)
)
ENDED_WITHIN_S = 5.0


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller.

    Attributes:
        length: Length of its body.
        chunk: Length of a chunk; 0 for a body whose length is announced.
        extension: Length of each chunk extension.
        is_malformed: Whether bytes follow that are no request.
    """

    length: int
    chunk: int
    extension: int
    is_malformed: bool

    def encoded(self):
        head = b'POST /once/2f HTTP/1.1\r\nHost: ficu.example\r\n'
        body = b'x' * self.length
        if self.chunk:
            head += b'Transfer-Encoding: chunked\r\n\r\n'
            extension = b';e=' + b'y' * self.extension
            body = b''.join(
                b'%x%b\r\n%b\r\n' % (len(part), extension, part)
                for part in (
                    body[at : at + self.chunk]
                    for at in range(0, len(body), self.chunk)
                )
            )
            body += b'0\r\n\r\n'
        else:
            head += b'Content-Length: %d\r\n\r\n' % self.length
        return head + body + (b'\x00no request' if self.is_malformed else b'')


@dataclasses.dataclass(frozen=True)
class Caller:
    """One caller.

    Attributes:
        requests: What it sends, without a wait for answers.
        withheld: Bytes at the end that it does not send.
        end: What it does then.
    """

    requests: tuple[Request, ...]
    withheld: int
    end: str

    def run(self, address):
        sent = b''.join(request.encoded() for request in self.requests)
        sent = sent[: len(sent) - self.withheld]
        # The other side may close or reset the connection at any time.
        with (
            contextlib.suppress(OSError),
            eventlet.Timeout(ENDED_WITHIN_S, OSError),
            contextlib.closing(socket.create_connection(address)) as connection,
        ):
            connection.sendall(sent)
            if self.end == 'reset':
                harness.reset(connection)
                return
            if self.end == 'half close':
                connection.shutdown(socket.SHUT_WR)
            while self.end != 'close' and connection.recv(65536):
                continue


REQUESTS = st.builds(
    Request,
    length=st.one_of(st.integers(0, MAX_BODY + 10_000), st.just(MAX_BODY)),
    chunk=st.sampled_from((0, 0, 700, 30_000, MAX_BODY)),
    extension=st.sampled_from((0, 0, 30, 4000)),
    is_malformed=st.sampled_from((False, False, False, True)),
)
CALLERS = st.builds(
    Caller,
    requests=st.lists(REQUESTS, min_size=1, max_size=5).map(tuple),
    withheld=st.sampled_from((0, 0, 1, 40, 5000)),
    end=st.sampled_from(('stay', 'close', 'half close', 'reset')),
)


class Gateway:
    """The callers' side of a gateway, whose requests take a moment.

    Attributes:
        violations: What was found wrong with its account.
        running_bytes: Bodies of the requests in progress, by connection.
        served: Number of requests that were read in full.
    """

    def __init__(self):
        plan = memory_plan.MemoryPlan(
            2**30, CONNECTIONS, requests_bytes=LIMIT_BYTES
        )
        self.state = shared_state.ServerState(plan)
        self.state.limits = LIMITS
        self.violations = []
        self.running_bytes = {}
        self.served = 0
        self.listener = listeners.Listener.open(
            'callers', ('127.0.0.1', 0), lambda event: None
        )
        self.address = self.listener.getsockname()
        self._tasks = [
            eventlet.spawn(
                callers.serve, self.listener, self.state, self._handle
            ),
            eventlet.spawn(self._check_always),
        ]

    def close(self):
        self.listener.close()
        for task in self._tasks:
            task.kill()

    def check(self):
        """Compare the account with what the connections hold."""
        buffered = self.state.buffered
        counted = dict(buffered._bytes_by_holder)
        if buffered.used_bytes != sum(counted.values()):
            self.violations.append('the sum differs from its parts')
        if buffered.used_bytes > BOUND_BYTES:
            self.violations.append(f'{buffered.used_bytes} bytes are held')
        if len(self.state.open_connections) > CONNECTIONS:
            self.violations.append('too many connections')
        for connection in self.state.open_connections:
            # A request that gives way is counted no more at once.
            held = self._held_bytes(connection)
            known = counted.pop(connection, 0)
            is_short = connection._refusal is None and known < held
            if is_short or known > self._most_counted_bytes(connection, held):
                self.violations.append(f'{known} bytes counted, {held} held')
        if counted:
            self.violations.append('a closed connection is counted')

    def _held_bytes(self, connection):
        """Return the length of the bodies that a connection holds."""
        reader = connection._reader
        waiting = sum(len(raw.body) for raw in reader._ready)
        incomplete = 0 if reader.is_idle else len(reader._current.body)
        return waiting + incomplete + self.running_bytes.get(connection, 0)

    def _most_counted_bytes(self, connection, held_bytes):
        """Return what may be counted for bodies and the heads that they have.

        A part of a head is counted as received, which may be a whole read.
        """
        requests = len(connection._reader._ready) + 2
        each_bytes = http1.REQUEST_OVERHEAD_BYTES + LIMITS.max_header_bytes
        return (
            int(held_bytes * byte_budget.GROWTH)
            + requests * each_bytes
            + http1.READ_BYTES
        )

    def _check_always(self):
        while True:
            self.check()
            clock.sleep(0)

    def _handle(self, raw, connection):
        self.served += 1
        self.running_bytes[connection] = len(raw.body)
        try:
            with connection.raise_on_disconnect():
                clock.sleep(0.005)
        finally:
            del self.running_bytes[connection]
        connection.answer.send_error(
            errors.RefusedError('test', 'Answered.', status=503), 'r-1'
        )


def run_crowd(crowd):
    """Run callers beside each other until all connections have ended."""
    gateway = Gateway()
    with contextlib.closing(gateway):
        tasks = [eventlet.spawn(each.run, gateway.address) for each in crowd]
        for task in tasks:
            task.wait()
        with eventlet.Timeout(ENDED_WITHIN_S):
            while gateway.state.open_connections:
                eventlet.sleep(0.005)
        gateway.check()
    return gateway


@FUZZ
@hypothesis.given(st.lists(CALLERS, min_size=1, max_size=10))
def test_account_equals_what_is_held_and_is_bounded(crowd):
    """Guards against bytes that are held and not counted, counted and not
    held, or more than the plan of the memory gives.
    """
    gateway = run_crowd(crowd)
    assert gateway.violations == []
    assert gateway.state.buffered.used_bytes == 0
    assert gateway.state.requests == 0


def test_ordinary_request_is_answered_beside_a_crowd():
    """Guards against a property that holds since nothing is served."""
    ordinary = Caller((Request(100, 0, 0, False),), 0, 'half close')
    crowd = [
        Caller((Request(MAX_BODY, 700, 0, False),) * 3, withheld, end)
        for withheld in (0, 5000)
        for end in ('stay', 'reset', 'close')
    ]
    gateway = run_crowd([*crowd, ordinary])
    assert gateway.violations == []
    assert gateway.served >= 1


def test_account_that_leaves_a_body_out_is_found():
    """Guards against a check that holds whatever is counted."""
    gateway = Gateway()
    with contextlib.closing(gateway):
        hold = gateway.state.buffered.hold
        gateway.state.buffered.hold = lambda holder, count: hold(
            holder, count // 2
        )
        Caller((Request(MAX_BODY, 0, 0, False),), 1, 'stay').run(
            gateway.address
        )
    assert gateway.violations
