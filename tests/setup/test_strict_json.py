"""Tests of the limits for hostile documents."""

import json

import pytest

from ivystep.core import errors
from ivystep.setup import strict_json
from tests.setup import fakes

COUNT = 1000


def _application(**fields):
    account = fakes.account('a')
    account['applications'][0].update(fields)
    return fakes.raw_document(account)


def _adapter(**fields):
    account = fakes.account('a')
    account['adapters'][0].update(fields)
    return fakes.raw_document(account)


@pytest.mark.parametrize(
    'document',
    [
        {'pools': [{}] * COUNT},
        {'services': [{}] * COUNT},
        {'accounts': [{}] * COUNT},
        {'services': [{'name': 'a', 'non_idempotent_paths': [1] * COUNT}]},
        fakes.raw_document({'name': 'a', 'adapters': [{}] * COUNT}),
        fakes.raw_document({'name': 'a', 'applications': [{}] * COUNT}),
        _application(key_digests=['!'] * COUNT),
        _application(grants=['!'] * COUNT),
        _application(services=['!'] * COUNT),
        _adapter(versions=[{}] * COUNT),
    ],
)
def test_invalid_long_list_gives_few_errors(document):
    """Guards against one error record for each element of a long list.

    The records of two million invalid key digests took 2.4 GB of memory.
    """
    with pytest.raises(errors.SetupError) as caught:
        strict_json.parse_document(json.dumps(document), 'a.json')
    # Only the first element may be reported.
    assert '[0]' in caught.value.reason
    assert '[1]' not in caught.value.reason
    assert 'further problems' not in caught.value.reason
