"""Tests of upstreams that write an earlier answer once more."""

import eventlet
import pytest

from tests.gateway import harness

REFUSAL = (
    'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n{id}Content-Length: 0\r\n\r\n'
)
IDS = {
    'earlier request': 'Request-Id: r-0\r\n',
    'unknown request': 'Request-Id: other\r\n',
    'no request': '',
}
WORK_S = 0.1


class FaultyUpstream:
    """Writes a refusal on a connection that has brought an answer before.

    It runs the request nevertheless and answers it afterwards.
    """

    def __init__(self, repeated):
        self.repeated = REFUSAL.format(id=repeated).encode()
        self.runs = []
        self._used = set()

    def script(self, connection, headers):
        if connection in self._used:
            connection.sendall(self.repeated)
            eventlet.sleep(WORK_S)
        self._used.add(connection)
        self.runs.append(headers['request-id'])
        return harness.ok_answer(headers)


@pytest.mark.parametrize('path', ['/once/2f', '/read/2f'])
@pytest.mark.parametrize('repeated', IDS.values(), ids=IDS)
def test_refusal_that_comes_once_more_is_not_believed(build, path, repeated):
    """Guards against requests that are told "not run" or run again although an
    upstream runs them: what it wrote refused an earlier request.
    """
    faulty = FaultyUpstream(repeated)
    gateway, _ = build(faulty.script, faulty.script)
    # Both upstreams have a connection that has brought an answer.
    eventlet.spawn(gateway.send, path, 'r-0')
    gateway.send(path, 'r-00')
    eventlet.sleep(WORK_S)
    for number in range(4):
        answer = gateway.send(path, f'r-{number + 1}')
        assert answer.status not in {408, 421, 429, 503}
    if path.startswith('/once'):
        assert len(set(faulty.runs)) == len(faulty.runs)


def test_connection_that_brought_a_refusal_is_not_used_again(build):
    """Guards against the repeat of a refusal on a kept connection, also if the
    same request is sent again.
    """

    def refuse(_, headers):
        named = f'Request-Id: {headers["request-id"]}\r\n'
        return REFUSAL.format(id=named).encode()

    gateway, (upstream,) = build(refuse)
    for number in range(3):
        assert gateway.send('/once/2f', f'r-{number}').status == 503
    assert upstream.opened >= len(upstream.requests)


def test_refusal_on_an_idle_connection_is_not_taken_for_an_answer(build):
    """Guards against bytes that came before a request was sent."""
    connections = []

    def answer(connection, headers):
        connections.append(connection)
        return harness.ok_answer(headers)

    gateway, (upstream,) = build(answer)
    assert gateway.send('/once/2f', 'r-0').status == 200
    connections[0].sendall(REFUSAL.format(id='').encode())
    eventlet.sleep(0.05)
    assert gateway.send('/once/2f', 'r-1').status == 200
    assert upstream.opened == 2
