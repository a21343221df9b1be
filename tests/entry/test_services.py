"""Tests of the requests built from calls of plain services."""

import io
import types as builtin_types

from ivystep.entry import services
from ivystep.settings import models
from ivystep.setup import document

LIMITS = models.RequestLimits()


def call(account, body=b'{"field": 17}', path='/lookup'):
    environ = {
        'RAW_PATH_INFO': f'/v1/services/sheets{path}',
        'wsgi.input': io.BytesIO(body),
        'CONTENT_LENGTH': str(len(body)),
    }
    application = builtin_types.SimpleNamespace(
        name='app', services=('sheets',), idempotent=True
    )
    grant = builtin_types.SimpleNamespace(
        account=builtin_types.SimpleNamespace(name=account),
        application=application,
    )
    setup = builtin_types.SimpleNamespace(
        version=1,
        service_by_name={
            'sheets': document.Service(name='sheets', pool='sheets')
        },
    )
    received = services.ServiceCall.read(environ, grant, setup, LIMITS, 'r-1')
    return received.request(grant, setup)


def test_accounts_do_not_share_what_is_known_of_a_request():
    """Guards against an account that has another's requests quarantined."""
    assert call('north').fingerprint != call('south').fingerprint
    assert call('north').fingerprint == call('north').fingerprint


def test_other_content_has_another_fingerprint():
    """Guards against requests refused for the crashes of others."""
    fingerprints = {
        call('north').fingerprint,
        call('north', body=b'{"field": 18}').fingerprint,
        call('north', path='/sheet').fingerprint,
    }
    assert len(fingerprints) == 3
