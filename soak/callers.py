"""Sends requests as callers do and records their results."""

import dataclasses
import enum
import json
import time
import typing

import urllib3
from urllib3 import connection, connectionpool

from ivystep.settings import models

TIMEOUT_MS = 2000
# Well beyond ``TIMEOUT_MS``; a call that takes longer counts as unanswered.
ANSWER_TIMEOUT_S = 12.0
# An entry closes a connection that is idle for its ``read_timeout_s``. A
# request sent at that moment gets no answer, and the entry owes none, so
# connections are reused well before it only.
REUSE_LIMIT_S = models.RequestLimits().read_timeout_s / 2
MAX_TOKENS = 30
PREFIX = 'data: '


class CallResult(enum.Enum):
    """What a caller knows about its request when the call has ended.

    ``NOT_RUN``, ``RUN`` and ``UNKNOWN`` are the values of ``ran`` in errors.
    """

    COMPLETE = 'complete'
    NOT_RUN = 'no'
    RUN = 'yes'
    UNKNOWN = 'unknown'
    BROKEN = 'connection broken'
    NO_ANSWER = 'no answer'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A completion request; its repeats differ only in the entry.

    Attributes:
        prompt: Unique text that identifies the request in engine journals.
        idempotency_key: Empty for none.
    """

    prompt: str
    account: str
    application: str
    adapter: str
    version: int
    stream: bool
    idempotency_key: str = ''

    @property
    def at_most_once(self) -> bool:
        """Whether the request must run at most once."""
        return bool(self.idempotency_key) or self.application == 'once'

    @property
    def lora_name(self) -> str:
        """The name under which engines hold the adapter version."""
        return f'{self.account}/{self.adapter}@{self.version}'

    @property
    def text(self) -> str:
        """The complete answer of the requested adapter version."""
        source = f'{self.account}-{self.adapter}-{self.version}'
        return ''.join(f'{source}#{index} ' for index in range(MAX_TOKENS))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one call."""

    request: CallerRequest
    entry: str
    result: CallResult
    status: int = 0
    code: str = ''
    text: str = ''


class _Connection(connection.HTTPConnection):
    """Connection that counts as closed ``REUSE_LIMIT_S`` after a request.

    The time runs from the start of the last request, which precedes the start
    of the entry's idle limit.
    """

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self._sent_at_s = 0.0

    @property
    def is_connected(self) -> bool:
        """Whether the next request may use the connection."""
        # The superclass yields to other tasks, so the time is checked last.
        return (
            super().is_connected
            and time.monotonic() < self._sent_at_s + REUSE_LIMIT_S
        )

    def request(self, *args: typing.Any, **options: typing.Any) -> None:
        """Send a request."""
        self._sent_at_s = time.monotonic()
        super().request(*args, **options)


class _ConnectionPool(connectionpool.HTTPConnectionPool):
    """Pool of connections that are not reused late."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.ConnectionCls = _Connection


def http_client() -> urllib3.PoolManager:
    """Return a client without retries for ``call``."""
    http = urllib3.PoolManager(
        retries=False, maxsize=64, timeout=ANSWER_TIMEOUT_S
    )
    http.pool_classes_by_scheme = {'http': _ConnectionPool}
    return http


def bearer_key(account: str, application: str) -> str:
    """Return the key of an application."""
    return f'key-{account}-{application}'


def call(
    http: urllib3.PoolManager, entry: str, url: str, request: CallerRequest
) -> Outcome:
    """Send a request to an entry and wait for the end of the answer.

    Args:
        http: See ``http_client``.
        entry: Name of the entry.
        url: Its base URL.
        request: The request.
    """
    key = bearer_key(request.account, request.application)
    headers = {
        'Authorization': f'Bearer {key}',
        'X-Request-Timeout-Ms': str(TIMEOUT_MS),
    }
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    try:
        response = http.request(
            'POST',
            f'{url}/v1/completions',
            json={
                'model': f'{request.adapter}@{request.version}',
                'prompt': request.prompt,
                'max_tokens': MAX_TOKENS,
                'stream': request.stream,
            },
            headers=headers,
            timeout=ANSWER_TIMEOUT_S,
        )
    except urllib3.exceptions.ReadTimeoutError:
        return Outcome(request, entry, CallResult.NO_ANSWER)
    except urllib3.exceptions.NewConnectionError:
        # Nothing was sent, so nothing can have run.
        return Outcome(request, entry, CallResult.NOT_RUN, code='not connected')
    except urllib3.exceptions.HTTPError:
        return Outcome(request, entry, CallResult.BROKEN)
    body = response.data.decode()
    if response.status != 200:
        return _failed(request, entry, response.status, json.loads(body))
    return answered(request, entry, parse_answer(request, body))


def parse_answer(request: CallerRequest, body: str) -> list[typing.Any]:
    """Return the JSON documents of an answer, None for the end marker."""
    if not request.stream:
        return [json.loads(body)]
    raw = [
        line.removeprefix(PREFIX)
        for line in body.splitlines()
        if line.startswith(PREFIX)
    ]
    return [None if item == '[DONE]' else json.loads(item) for item in raw]


def answered(
    request: CallerRequest, entry: str, documents: list[typing.Any]
) -> Outcome:
    """Return the outcome of an answer with status 200.

    Args:
        request: The request.
        entry: Name of the entry.
        documents: See ``parse_answer``.
    """
    last = documents[-1] if documents else {}
    if last is not None and 'error' in last:
        return _failed(request, entry, 200, last)
    text = ''.join(
        document['choices'][0]['text'] for document in documents if document
    )
    is_complete = last is None or not request.stream
    result = CallResult.COMPLETE if is_complete else CallResult.BROKEN
    return Outcome(request, entry, result, 200, '', text)


def _failed(
    request: CallerRequest, entry: str, status: int, document: typing.Any
) -> Outcome:
    error = document['error']
    return Outcome(
        request, entry, CallResult(error['ran']), status, error['code']
    )
