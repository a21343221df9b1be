"""Tests of the console through its WSGI application."""

import hashlib
import re

import pytest

from ivystep.core import errors
from ivystep.runtime import virtual_hub
from ivystep.setup import history, submission
from tests.console import browser
from tests.setup import fakes


@pytest.fixture
def platform():
    found = fakes.Platform()
    submission.Submitter(found.rows, found.store).submit(
        fakes.make_document(fakes.account('vanhoutte', ('letters', 'notes'))),
        0,
        'setup',
    )
    return found


@pytest.fixture
def served(platform):
    return browser.console(platform)


def in_force(platform):
    trail = history.History(platform.rows, platform.store)
    return trail.read_version(trail.newest_version()).read_document()


def test_a_new_account_from_start_to_end(platform, served):
    """Guards against a console that cannot set up an account."""
    ama = browser.Browser(served, 'ama')
    ama.post('/new/accounts', name=' Authority ', weight='1,5')
    assert ama.status == 200
    ama.post(
        '/new/accounts/authority/adapters',
        name='plans',
        pool='base',
        versions='1 plans/first\r\n2 plans/second',
        active_version='2',
    )
    ama.post(
        '/new/accounts/authority/applications',
        name='routing',
        grants='plans\r\nplans\r\n',
        idempotent='no',
        limits__queue='7',
    )
    key = re.search(r'<pre>(.+)</pre>', ama.text).group(1)
    assert key not in ama.get('/part/accounts/authority').text
    assert key not in ama.get('/draft').text
    assert 'account authority: added' in ama.text
    assert len(in_force(platform).accounts) == 1
    ama.post('/draft/submit')
    assert 'Version 2 is in force' in ama.text
    account = in_force(platform).accounts[0]
    application = account.applications[0]
    assert (account.name, account.weight) == ('authority', 1.5)
    assert application.key_digests == (
        hashlib.sha256(key.encode()).hexdigest(),
    )
    assert (application.idempotent, application.limits.queue) == (False, 7)
    assert application.grants == ('plans',)
    stored = str(platform.rows.row_by_key) + str(platform.store.body_by_digest)
    assert key not in stored


def test_typed_input_is_kept_beside_the_error(served):
    """Guards against clerks who have to type everything again."""
    ama = browser.Browser(served, 'ama')
    path = '/part/accounts/vanhoutte/adapters/letters'
    ama.post(path, versions='1 a\nsecond b', active_version='one', pool='base')
    assert ama.status == 422
    assert 'Line 2 must be a number, a space and the place' in ama.text
    assert 'Active version must be a whole number' in ama.text
    assert '1 a\nsecond b</textarea>' in ama.text
    assert 'value="one"' in ama.text
    ama.post(path, versions='1 a', active_version='3', pool='base')
    assert 'letters has no version 3' in ama.text
    ama.post('/part/accounts/vanhoutte', weight='-1', limits__burst='0')
    assert 'Weight must be more than 0' in ama.text
    assert 'Burst must be 1 or more' in ama.text
    ama.post('/part/pools/base', action='remove')
    assert 'there is no pool base' in ama.text
    ama.post('/new/pools', name='no spaces')
    assert 'small letters, digits' in ama.text
    ama.post('/new/pools', name='base')
    assert 'already a part named base' in ama.text
    assert 'Nothing differs' in ama.get('/draft').text


def test_two_operators_at_once(platform, served):
    """Guards against one operator who overwrites another's change."""
    ama = browser.Browser(served, 'ama')
    kofi = browser.Browser(served, 'kofi')
    kofi.get('/')
    ama.post('/part/accounts/vanhoutte', weight='2')
    kofi.post('/part/accounts/vanhoutte', weight='3')
    kofi.post('/part/accounts/vanhoutte/adapters/notes', active_version='1')
    kofi.post('/new/pools', name='extra')
    ama.post('/draft/submit')
    kofi.post('/draft/submit')
    assert kofi.status == 409
    assert 'weight changed from 1.0 to 2.0' in kofi.text
    kofi.post('/draft/rebase')
    assert 'account vanhoutte was changed by somebody else too' in kofi.text
    assert 'pool extra: added' in kofi.text
    kofi.post('/draft/submit')
    document = in_force(platform)
    assert document.accounts[0].weight == 2
    assert [pool.name for pool in document.pools] == ['base', 'extra']
    assert 'by kofi' in kofi.get('/history').text


def test_undo_is_a_new_change(platform, served):
    """Guards against an undo that rewrites history."""
    ama = browser.Browser(served, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    ama.post('/draft/submit')
    ama.get('/history')
    ama.post('/history', version='1')
    assert 'weight changed from 2.0 to 1.0' in ama.text
    ama.post('/draft/submit')
    assert 'Version 3 is in force' in ama.text
    assert in_force(platform).accounts[0].weight == 1


def test_a_lost_answer_is_applied_once(platform, served):
    """Guards against a second application when the button is pressed again."""
    ama = browser.Browser(served, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    platform.rows.lost_answers = 1

    def fail_reads():
        platform.rows.reads_that_fail = 100

    platform.rows.before_write = fail_reads
    virtual_hub.run(lambda: ama.post('/draft/submit'))
    assert 'not known yet' in ama.text
    platform.rows.reads_that_fail = 0
    ama.post('/draft/submit')
    assert 'Version 2 is in force' in ama.text
    platform.rows.is_down = True
    ama.get('/draft')
    assert (ama.status, 'draft is kept' in ama.text) == (503, True)


def test_forged_and_hostile_requests_change_nothing(platform, served):
    """Guards against changes by other sites, strangers and hostile input."""
    stranger = browser.Browser(served)
    assert 'Sign in' in stranger.get('/draft').text
    virtual_hub.run(lambda: stranger.post('/sign-in', name='ama', key='wrong'))
    assert (stranger.status, stranger.cookie) == (403, '')
    ama = browser.Browser(served, 'ama')
    assert 'HttpOnly; SameSite=Strict' in str(
        served._sessions.cookie(
            next(iter(served._sessions._session_by_token.values()))
        )
    )
    ama.post('/part/accounts/vanhoutte', weight='2', csrf_token='forged')
    assert ama.status == 403
    assert ama.get('/keys/accounts/vanhoutte/applications/app').status == 404
    for path in (
        '/part/accounts/nobody',
        '/part/accounts',
        '/list/key_digests',
        '/part/pools/base/adapters/x',
        '/new/accounts/nobody/adapters/x/y',
    ):
        assert ama.get(path).status == 404
    ama.post('/new/services', name='<script>', pool='"><script>')
    raw = b''.join(
        served(
            {
                'REQUEST_METHOD': 'GET',
                'PATH_INFO': '/list/pools',
                'QUERY_STRING': 'find=%3Cscript%3E',
                'HTTP_COOKIE': ama.cookie,
            },
            lambda *_: None,
        )
    )
    assert b'<script>' not in raw
    assert "default-src 'none'" in ama.headers['Content-Security-Policy']
    assert 'Nothing differs' in ama.get('/draft').text
    ama.post('/draft/submit')
    assert 'changes nothing' in ama.text
    ama.post('/x', field='a' * 3000000)
    assert ama.status == 400
    ama.post('/sign-out')
    assert 'Sign in' in ama.get('/').text


def test_older_platform_data_is_refused(platform, served):
    """Guards against a draft on data that went back in time."""
    old_rows = dict(platform.rows.row_by_key)
    ama = browser.Browser(served, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    ama.post('/draft/submit')
    ama.get('/draft')
    platform.rows.row_by_key = old_rows
    assert ama.get('/draft').status == 503
    with pytest.raises(errors.UnavailableError):
        served._setups.newest_version()
