"""Stand-in of a model engine that serves many LoRA adapters.

It answers completions with text that names the adapter, so that tests see
which adapter produced an answer. Prompts that contain ``CRASH`` end the
process. Each generated token takes one engine step.
"""

import json
import os
import time
import typing
from collections.abc import Iterator

import eventlet
import urllib3

from standins import web

CRASH_EXIT_CODE = 70
DEFAULT_MAX_TOKENS = 16


class EngineStandin:
    """Resident adapters and running completions in memory."""

    def __init__(self, slots: int, step_s: float, weights_url: str) -> None:
        self.slots = slots
        self.step_s = step_s
        self.running = 0
        self.steps = 0
        self.step_tokens = 0
        self.started = time.time()
        self.source_by_name: dict[str, str] = {}
        self.highest_token = 0
        self.checks_fencing = True
        self.completions_by_prompt: dict[str, int] = {}
        self._weights_url = weights_url
        self._http = urllib3.PoolManager(retries=False)

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        routes = {
            '/health': self._health,
            '/metrics': self._metrics,
            '/v1/models': self._models,
            '/v1/completions': self._complete,
            '/v1/chat/completions': self._complete,
            '/v1/load_lora_adapter': self._load,
            '/v1/unload_lora_adapter': self._unload,
            '/counts': self._counts,
        }
        route = routes.get(environ['PATH_INFO'])
        return route(environ) if route else (404, {'error': 'no such path'})

    def _health(self, environ: web.Environ) -> web.Reply:
        return 200, {}

    def _counts(self, environ: web.Environ) -> web.Reply:
        return 200, self.completions_by_prompt

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
        if self.source_by_name.pop(document['lora_name'], None) is None:
            return 404, {'error': {'message': 'adapter not found'}}
        return 200, b'Success'

    def _is_fenced(self, environ: web.Environ) -> bool:
        token = int(environ.get('HTTP_X_FENCING_TOKEN', '0'))
        if self.checks_fencing and token < self.highest_token:
            return True
        self.highest_token = max(token, self.highest_token)
        return False

    def _complete(self, environ: web.Environ) -> web.Reply:
        document = json.loads(web.read_body(environ))
        name = document['model']
        if name not in self.source_by_name:
            return 404, {'error': {'message': f'no model {name}'}}
        prompt = str(document.get('prompt') or document.get('messages'))
        if 'CRASH' in prompt:
            os._exit(CRASH_EXIT_CODE)
        count = self.completions_by_prompt.get(prompt, 0)
        self.completions_by_prompt[prompt] = count + 1
        tokens = self._generate(document, name)
        if document.get('stream'):
            return 200, self._stream(tokens, name)
        text = ''.join(tokens)
        usage = {'completion_tokens': document.get('max_tokens', 0)}
        return 200, {
            'object': 'text_completion',
            'model': name,
            'choices': [{'index': 0, 'text': text, 'finish_reason': 'stop'}],
            'usage': usage,
        }

    def _generate(
        self, document: dict[str, typing.Any], name: str
    ) -> Iterator[str]:
        source = self.source_by_name[name]
        self.running += 1
        try:
            for index in range(document.get('max_tokens', DEFAULT_MAX_TOKENS)):
                eventlet.sleep(self.step_s)
                self.steps += 1
                self.step_tokens += self.running
                yield f'{source}#{index} '
        finally:
            self.running -= 1

    def _stream(self, tokens: Iterator[str], name: str) -> Iterator[bytes]:
        for token in tokens:
            event = {
                'object': 'text_completion',
                'model': name,
                'choices': [{'index': 0, 'text': token}],
            }
            yield f'data: {json.dumps(event)}\n\n'.encode()
        yield b'data: [DONE]\n\n'
