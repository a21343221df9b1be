"""Callers that record what they were told."""

import dataclasses
import enum
import json
import typing

import urllib3

TIMEOUT_MS = 2000
# A caller that has no answer so long after its deadline was left alone.
SILENCE_S = 12.0
MAX_TOKENS = 30
PREFIX = 'data: '


class Told(enum.Enum):
    """What a caller knows at the end of its call."""

    COMPLETE = 'complete'
    NOT_RUN = 'no'
    RUN = 'yes'
    UNKNOWN = 'unknown'
    BROKEN = 'connection broken'
    SILENT = 'no answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What a caller sends; repeats are equal but for the entry.

    Attributes:
        prompt: Unique to the order, so that the engines' journals show it.
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
    def once(self) -> bool:
        """Whether the order must run at most once."""
        return bool(self.idempotency_key) or self.application == 'once'

    @property
    def lora_name(self) -> str:
        """The name under which engines hold the adapter version."""
        return f'{self.account}/{self.adapter}@{self.version}'

    @property
    def text(self) -> str:
        """The complete answer of the right adapter version."""
        source = f'{self.account}-{self.adapter}-{self.version}'
        return ''.join(f'{source}#{index} ' for index in range(MAX_TOKENS))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one call."""

    order: Order
    entry: str
    told: Told
    status: int = 0
    code: str = ''
    text: str = ''


def bearer_key(account: str, application: str) -> str:
    """Return the key of an application."""
    return f'key-{account}-{application}'


def call(
    http: urllib3.PoolManager, entry: str, url: str, order: Order
) -> Outcome:
    """Send an order to an entry and wait for the end of the answer.

    Args:
        http: Client without retries.
        entry: Name of the entry.
        url: Its base URL.
        order: What is sent.
    """
    key = bearer_key(order.account, order.application)
    headers = {
        'Authorization': f'Bearer {key}',
        'X-Request-Timeout-Ms': str(TIMEOUT_MS),
    }
    if order.idempotency_key:
        headers['Idempotency-Key'] = order.idempotency_key
    try:
        response = http.request(
            'POST',
            f'{url}/v1/completions',
            json={
                'model': f'{order.adapter}@{order.version}',
                'prompt': order.prompt,
                'max_tokens': MAX_TOKENS,
                'stream': order.stream,
            },
            headers=headers,
            timeout=SILENCE_S,
        )
    except urllib3.exceptions.ReadTimeoutError:
        return Outcome(order, entry, Told.SILENT)
    except urllib3.exceptions.NewConnectionError:
        # Nothing was sent, so nothing can have run.
        return Outcome(order, entry, Told.NOT_RUN, code='not connected')
    except urllib3.exceptions.HTTPError:
        return Outcome(order, entry, Told.BROKEN)
    body = response.data.decode()
    if response.status != 200:
        return _failed(order, entry, response.status, json.loads(body))
    return answered(order, entry, parse_answer(order, body))


def parse_answer(order: Order, body: str) -> list[typing.Any]:
    """Return the JSON documents of an answer; None is the end marker."""
    if not order.stream:
        return [json.loads(body)]
    raw = [
        line.removeprefix(PREFIX)
        for line in body.splitlines()
        if line.startswith(PREFIX)
    ]
    return [None if item == '[DONE]' else json.loads(item) for item in raw]


def answered(order: Order, entry: str, documents: list[typing.Any]) -> Outcome:
    """Judge an answer with status 200.

    Args:
        order: What was sent.
        entry: Name of the entry.
        documents: See ``parse_answer``.
    """
    last = documents[-1] if documents else {}
    if last is not None and 'error' in last:
        return _failed(order, entry, 200, last)
    text = ''.join(
        document['choices'][0]['text'] for document in documents if document
    )
    is_whole = last is None or not order.stream
    told = Told.COMPLETE if is_whole else Told.BROKEN
    return Outcome(order, entry, told, 200, '', text)


def _failed(
    order: Order, entry: str, status: int, document: typing.Any
) -> Outcome:
    error = document['error']
    return Outcome(order, entry, Told(error['ran']), status, error['code'])
