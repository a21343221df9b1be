"""Stand-in of a model engine that serves many LoRA adapters.

Each token of an answer contains the source of the adapter that produced it,
so that tests can verify the adapter, and takes one engine step. A completion
is cancelled when its caller closes the connection. Faults are set over HTTP;
see ``standins.faults``.
"""

import json
import os
import time
import typing
from collections.abc import Callable, Iterator

import eventlet
import urllib3

from standins import faults, web

CRASH_EXIT_CODE = 70
DEFAULT_MAX_TOKENS = 16


def _exit_process() -> None:
    os._exit(CRASH_EXIT_CODE)


class EngineStandin:
    """An engine with simulated adapters and completions.

    Args:
        slots: Number of adapters that can be resident.
        step_s: Duration of an engine step in seconds.
        weights_url: Weight store, empty for loads without a transfer.
        crash: Called for a prompt that crashes the engine.
        journal_path: File that gets one JSON line with adapter and prompt for
            each completion and that later incarnations continue; empty for
            none.
    """

    def __init__(
        self,
        slots: int,
        step_s: float,
        weights_url: str,
        crash: Callable[[], None] = _exit_process,
        journal_path: str = '',
    ) -> None:
        self.slots = slots
        self.step_s = step_s
        self.running = 0
        self.steps = 0
        self.step_tokens = 0
        self.cancelled = 0
        self.started = time.time()
        self.source_by_name: dict[str, str] = {}
        self.highest_token = 0
        self.faults = faults.EngineFaults()
        self.completions_by_prompt: dict[str, int] = {}
        self._journal_path = journal_path
        self._weights_url = weights_url
        self._crash = crash
        self._http = urllib3.PoolManager(retries=False)

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        environ['eventlet.minimum_write_chunk_size'] = 1
        routes = {
            '/health': self._health,
            '/metrics': self._metrics,
            '/v1/models': self._models,
            '/v1/completions': self._complete,
            '/v1/chat/completions': self._complete,
            '/v1/load_lora_adapter': self._load,
            '/v1/unload_lora_adapter': self._unload,
            '/counts': self._counts,
            '/faults': self._set_faults,
        }
        path = environ['PATH_INFO']
        if self.faults.hangs and path != '/faults':
            self._hang()
        route = routes.get(path)
        return route(environ) if route else (404, {'error': 'no such path'})

    def restart(self) -> None:
        """Become a new incarnation without adapters."""
        self.started += 1
        self.source_by_name.clear()

    def _hang(self) -> None:
        while self.faults.hangs:
            eventlet.sleep(self.step_s)

    def _health(self, environ: web.Environ) -> web.Reply:
        return 200, {}

    def _counts(self, environ: web.Environ) -> web.Reply:
        return 200, self.completions_by_prompt

    def _set_faults(self, environ: web.Environ) -> web.Reply:
        document = json.loads(web.read_body(environ))
        self.faults = faults.EngineFaults(**document)
        return 200, {}

    def _metrics(self, environ: web.Environ) -> web.Reply:
        lines = (
            f'process_start_time_seconds {self.started}',
            f'num_requests_running {self.running}',
            f'engine_steps_total {self.steps}',
            f'engine_step_tokens_total {self.step_tokens}',
        )
        return 200, '\n'.join([*lines, '']).encode()

    def _models(self, environ: web.Environ) -> web.Reply:
        models = [{'id': name} for name in sorted(self.source_by_name)]
        return 200, {'object': 'list', 'data': models}

    def _load(self, environ: web.Environ) -> web.Reply:
        document = json.loads(web.read_body(environ))
        if self._is_fenced(environ):
            return 409, {'error': {'message': 'old fencing token'}}
        eventlet.sleep(self.faults.load_delay_s)
        if self.faults.load_status:
            return self.faults.load_status, {'error': {'message': 'failed'}}
        if len(self.source_by_name) >= self.slots:
            return 400, {'error': {'message': 'no free adapter slot'}}
        source = document['lora_path']
        if self._weights_url:
            response = self._http.request(
                'GET', f'{self._weights_url}/weights/{source}'
            )
            if response.status != 200:
                return 500, {'error': {'message': 'weights not loaded'}}
        self.source_by_name[document['lora_name']] = source
        return 200, b'Success'

    def _unload(self, environ: web.Environ) -> web.Reply:
        document = json.loads(web.read_body(environ))
        if self._is_fenced(environ):
            return 409, {'error': {'message': 'old fencing token'}}
        eventlet.sleep(self.faults.unload_delay_s)
        if self.source_by_name.pop(document['lora_name'], None) is None:
            return 404, {'error': {'message': 'adapter not found'}}
        return 200, b'Success'

    def _is_fenced(self, environ: web.Environ) -> bool:
        token = int(environ.get('HTTP_X_FENCING_TOKEN', '0'))
        if self.faults.checks_fencing and token < self.highest_token:
            return True
        self.highest_token = max(token, self.highest_token)
        return False

    def _complete(self, environ: web.Environ) -> web.Reply:
        document = json.loads(web.read_body(environ))
        name = document['model']
        if name not in self.source_by_name:
            return 404, {'error': {'message': f'no model {name}'}}
        prompt = str(document.get('prompt') or document.get('messages'))
        self._append_to_journal(name, prompt)
        if self.faults.crash_prompt and self.faults.crash_prompt in prompt:
            self._crash()
        count = self.completions_by_prompt.get(prompt, 0)
        self.completions_by_prompt[prompt] = count + 1
        tokens = self._generate(document, name, environ)
        answer_model = self.faults.answer_model or name
        if document.get('stream'):
            body: typing.Any = self._stream(tokens, answer_model)
        else:
            body = self._complete_document(tokens, answer_model)
        return 200, faults.truncated(body, self.faults.truncate_bytes)

    def _append_to_journal(self, name: str, prompt: str) -> None:
        if self._journal_path:
            with open(self._journal_path, 'a', encoding='utf-8') as journal:
                journal.write(f'{json.dumps([name, prompt])}\n')

    def _generate(
        self, document: dict[str, typing.Any], name: str, environ: web.Environ
    ) -> Iterator[str]:
        source = self.source_by_name[name]
        self.running += 1
        try:
            for index in range(document.get('max_tokens', DEFAULT_MAX_TOKENS)):
                self._step(environ)
                self.step_tokens += self.running
                yield f'{source}#{index} '
        finally:
            self.running -= 1

    def _step(self, environ: web.Environ) -> None:
        eventlet.sleep(self.step_s)
        while self.faults.is_silent and not web.is_gone(environ):
            eventlet.sleep(self.step_s)
        if web.is_gone(environ):
            self.cancelled += 1
            raise ConnectionError('the caller has gone')
        self.steps += 1

    def _complete_document(
        self, tokens: Iterator[str], name: str
    ) -> dict[str, typing.Any]:
        generated = list(tokens)
        return {
            'object': 'text_completion',
            'model': name,
            'choices': [
                {
                    'index': 0,
                    'text': ''.join(generated),
                    'finish_reason': 'stop',
                }
            ],
            'usage': {'completion_tokens': len(generated)},
        }

    def _stream(self, tokens: Iterator[str], name: str) -> Iterator[bytes]:
        for token in tokens:
            event = {
                'object': 'text_completion',
                'model': name,
                'choices': [{'index': 0, 'text': token}],
            }
            yield f'data: {json.dumps(event)}\n\n'.encode()
        if not self.faults.omits_end:
            yield b'data: [DONE]\n\n'
