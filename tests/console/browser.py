"""A minimal browser without scripts for the console's WSGI application."""

import hashlib
import html
import io
import re
import urllib.parse

from ivystep.console import app, sessions, setup_repository

KEY_BY_OPERATOR = {'ama': 'key-of-ama', 'kofi': 'key-of-kofi'}


def console(platform):
    """Return a console that uses an in-memory platform."""
    digests = {
        name: hashlib.sha256(key.encode()).hexdigest()
        for name, key in KEY_BY_OPERATOR.items()
    }
    return app.ConsoleApp(
        sessions.Sessions(digests, 3600, is_secure=True),
        setup_repository.SetupRepository(platform.rows, platform.store),
    )


class Browser:
    """Keeps the session cookie and the CSRF token of the last page."""

    def __init__(self, wsgi_app, operator=''):
        self.app = wsgi_app
        self.cookie = ''
        self.token = ''
        self.status = 0
        self.text = ''
        self.headers = {}
        if operator:
            self.post('/sign-in', name=operator, key=KEY_BY_OPERATOR[operator])

    def get(self, path):
        return self._call('GET', path, b'')

    def post(self, path, **fields):
        fields.setdefault('csrf_token', self.token)
        # Field names may have dots; keyword arguments have ``__`` instead.
        named = {key.replace('__', '.'): text for key, text in fields.items()}
        return self._call('POST', path, urllib.parse.urlencode(named).encode())

    def _call(self, method, path, body):
        path, _, query = path.partition('?')
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(body)),
            'HTTP_COOKIE': self.cookie,
            'wsgi.input': io.BytesIO(body),
        }
        answers = []
        chunks = self.app(environ, lambda *args: answers.append(args))
        self.text = html.unescape(b''.join(chunks).decode())
        self.status = int(answers[0][0].split()[0])
        self.headers = dict(answers[0][1])
        if 'Set-Cookie' in self.headers:
            self.cookie = self.headers['Set-Cookie'].partition(';')[0]
        token = re.search(r'name="csrf_token" value="([^"]+)"', self.text)
        self.token = token.group(1) if token else self.token
        if self.status == 303:
            return self.get(self.headers['Location'])
        return self
