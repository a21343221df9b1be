"""A simulated engine that replaces the sidecar's HTTP client."""

import collections
import json
import random
import typing
from collections.abc import Iterator

import eventlet
import urllib3

from ivystep.core import errors, types
from ivystep.runtime import clock
from ivystep.sidecar import upstream
from soak import callers

STEP_S = 0.02
TOKENS_IN_STEP = 5
CALL_S = 0.002
LOAD_S = 0.1
LATE_S = 1.0
# Requests sent before the drain was announced may still arrive.
DRAIN_GRACE_S = 5.0


class Journal:
    """Records what all engines ran.

    Attributes:
        names_by_prompt: Adapters that ran each prompt, with repetitions.
        violations: Calls that a correct sidecar would not make.
    """

    def __init__(self) -> None:
        self.names_by_prompt: dict[str, list[str]] = collections.defaultdict(
            list
        )
        self.violations: list[str] = []


class Engine:
    """One engine, whose process can be restarted.

    Args:
        host: Name of its host.
        slots: Number of adapters that can be resident.
        choices: Source of random choices.
        journal: Receives what the engine runs.

    Attributes:
        fault_share: Share of completions that fail in some way.
        load_fault_share: Share of load and unload orders that fail.
        draining_since: Time at which its host began to drain, if it did.
    """

    def __init__(
        self,
        host: str,
        slots: int,
        choices: random.Random,
        journal: Journal,
    ) -> None:
        self.fault_share = 0.0
        self.load_fault_share = 0.0
        self.draining_since: float | None = None
        self._host = host
        self._slots = slots
        self._choices = choices
        self._journal = journal
        self._started = 1
        self._source_by_name: dict[str, str] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._highest_token = 0

    def restart(self) -> None:
        """Abort all completions and start again without adapters."""
        self._started += 1
        self._source_by_name.clear()
        self._running.clear()

    def run(self, path: str, body: bytes) -> typing.Any:
        """Start a completion; see ``upstream.UpstreamHttp.run``."""
        self._check_not_draining()
        clock.sleep(CALL_S)
        is_faulty = self._choices.random() < self.fault_share
        if is_faulty and self._choices.choice((False, True)):
            raise upstream.call_error(_connection_lost(), self._host)
        document = json.loads(body)
        name = document['model']
        if name not in self._source_by_name:
            return Response(404, iter((b'{}',)))
        self._journal.names_by_prompt[document['prompt']].append(name)
        if is_faulty and self._choices.choice((False, True)):
            return Response(500, iter((b'{}',)))
        # A faulty engine may run another adapter and name it in the answer.
        producer = name
        is_wrong = is_faulty and self._choices.choice((False, True))
        if is_wrong:
            producer = self._choices.choice(sorted(self._source_by_name))
        chunks = self._generate(
            name, producer, is_cut=is_faulty and not is_wrong
        )
        if document['stream']:
            return Response(200, _events(chunks, producer))
        try:
            text = ''.join(chunks)
        except urllib3.exceptions.HTTPError as error:
            raise upstream.call_error(error, self._host) from error
        whole = {'model': producer, 'choices': [{'text': text}]}
        return Response(200, iter((json.dumps(whole).encode(),)))

    def read(self) -> upstream.UpstreamSnapshot:
        """Return incarnation, resident adapters and running completions."""
        snapshot = self.process()
        refs = frozenset(
            types.AdapterRef.from_lora_name(name)
            for name in self._source_by_name
        )
        return upstream.UpstreamSnapshot(
            snapshot.incarnation, refs, snapshot.running
        )

    def process(self) -> upstream.UpstreamSnapshot:
        """Return incarnation and running completions."""
        clock.sleep(CALL_S)
        running = self._running.total()
        return upstream.UpstreamSnapshot(str(self._started), running=running)

    def load(self, ref: types.AdapterRef, source: str, token: int) -> None:
        """Load an adapter; see ``upstream.EngineHttp.load``."""
        self._order(token, self._load, ref.lora_name, source)

    def unload(self, ref: types.AdapterRef, token: int) -> None:
        """Unload an adapter; see ``upstream.EngineHttp.unload``."""
        self._order(token, self._unload, ref.lora_name)

    def _check_not_draining(self) -> None:
        draining_since = self.draining_since
        if (
            draining_since is not None
            and clock.now() > draining_since + DRAIN_GRACE_S
        ):
            self._journal.violations.append(
                f'{self._host} got new work while draining'
            )

    def _order(self, token: int, effect: typing.Any, *names: str) -> None:
        started = self._started
        clock.sleep(LOAD_S)
        if started != self._started:
            raise errors.UncertainWriteError('restarted', step='order')
        if token < self._highest_token:
            raise errors.ConflictError('old token', step='order')
        self._highest_token = token
        if self._choices.random() >= self.load_fault_share:
            effect(*names)
            return
        failure = self._choices.choice(
            ('rejected', 'lost', 'unanswered', 'late')
        )
        if failure == 'rejected':
            raise errors.UnavailableError('rejected', step='order')
        if failure == 'unanswered':
            effect(*names)
        if failure == 'late':
            eventlet.spawn_after(
                LATE_S, self._apply_late, started, effect, names
            )
        raise errors.UncertainWriteError('no answer', step='order')

    def _apply_late(
        self, started: int, effect: typing.Any, names: tuple[str, ...]
    ) -> None:
        if started == self._started:
            try:
                effect(*names)
            except errors.UnavailableError:
                # The engine rejects the order, but its caller has gone.
                return

    def _load(self, name: str, source: str) -> None:
        if len(self._source_by_name) >= self._slots:
            raise errors.UnavailableError('no slot', step='load')
        self._source_by_name[name] = source

    def _unload(self, name: str) -> None:
        if self._running[name]:
            self._journal.violations.append(f'{name} evicted while serving')
        self._source_by_name.pop(name, None)

    def _generate(
        self, name: str, producer: str, *, is_cut: bool
    ) -> Iterator[str]:
        started, source = self._started, self._source_by_name[producer]
        self._running[name] += 1
        try:
            for first in range(0, callers.MAX_TOKENS, TOKENS_IN_STEP):
                clock.sleep(STEP_S)
                if started != self._started or (is_cut and first):
                    raise _connection_lost()
                yield ''.join(
                    f'{source}#{index} '
                    for index in range(first, first + TOKENS_IN_STEP)
                )
        finally:
            if started == self._started:
                self._running[name] -= 1


class Response:
    """An answer with the part of urllib3's interface that sidecars use."""

    def __init__(self, status: int, chunks: Iterator[bytes]) -> None:
        self.status = status
        self.headers = {'Transfer-Encoding': 'chunked'}
        self._chunks = chunks

    def stream(self, size: int) -> Iterator[bytes]:
        """Return the chunks of the body."""
        return self._chunks

    def close(self) -> None:
        """Discard the rest, which cancels the completion."""
        close = getattr(self._chunks, 'close', None)
        if close is not None:
            close()

    def release_conn(self) -> None:
        """Release the connection."""
        self.close()


def _events(chunks: Iterator[str], name: str) -> Iterator[bytes]:
    # Closing this generator must also close the inner one, which ends the
    # completion.
    for text in chunks:
        document = json.dumps({'model': name, 'choices': [{'text': text}]})
        yield f'data: {document}\n\n'.encode()
    yield b'data: [DONE]\n\n'


def _connection_lost() -> urllib3.exceptions.ProtocolError:
    return urllib3.exceptions.ProtocolError('connection lost')
