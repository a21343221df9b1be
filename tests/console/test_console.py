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
def console_app(platform):
    return browser.console(platform)


def in_force(platform):
    trail = history.History(platform.rows, platform.store)
    return trail.read_version(trail.newest_version()).read_document()


def test_new_account_with_adapter_and_application(platform, console_app):
    """Guards against failures to set up an account, and against stored keys."""
    ama = browser.Browser(console_app, 'ama')
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


def test_input_is_kept_when_a_form_has_errors(console_app):
    """Guards against operators having to type everything again."""
    ama = browser.Browser(console_app, 'ama')
    path = '/part/accounts/vanhoutte/adapters/letters'
    ama.post(path, versions='1 a\nsecond b', active_version='one', pool='base')
    assert ama.status == 422
    assert 'Line 2 must be a number, a space and the location' in ama.text
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
    assert 'lowercase letters, digits' in ama.text
    ama.post('/new/pools', name='base')
    assert 'already a part named base' in ama.text
    assert 'Nothing differs' in ama.get('/draft').text


def test_concurrent_drafts_of_two_operators(platform, console_app):
    """Guards against a submission that overwrites another operator's change."""
    ama = browser.Browser(console_app, 'ama')
    kofi = browser.Browser(console_app, 'kofi')
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
    assert 'account vanhoutte was also changed by another operator' in kofi.text
    assert 'pool extra: added' in kofi.text
    kofi.post('/draft/submit')
    document = in_force(platform)
    assert document.accounts[0].weight == 2
    assert [pool.name for pool in document.pools] == ['base', 'extra']
    assert 'by kofi' in kofi.get('/history').text


def test_restoring_a_version_is_a_new_change(platform, console_app):
    """Guards against a restored version that rewrites the history."""
    ama = browser.Browser(console_app, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    ama.post('/draft/submit')
    ama.get('/history')
    ama.post('/history', version='1')
    assert 'weight changed from 2.0 to 1.0' in ama.text
    ama.post('/draft/submit')
    assert 'Version 3 is in force' in ama.text
    assert in_force(platform).accounts[0].weight == 1


def test_submission_with_a_lost_answer_is_applied_once(platform, console_app):
    """Guards against applying a draft twice after a lost answer."""
    ama = browser.Browser(console_app, 'ama')
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


def test_forged_and_malformed_requests_change_nothing(platform, console_app):
    """Guards against CSRF, missing sign-in, injection and oversized forms."""
    stranger = browser.Browser(console_app)
    assert 'Sign in' in stranger.get('/draft').text
    virtual_hub.run(lambda: stranger.post('/sign-in', name='ama', key='wrong'))
    assert (stranger.status, stranger.cookie) == (403, '')
    ama = browser.Browser(console_app, 'ama')
    assert 'HttpOnly; SameSite=Strict' in str(
        console_app._sessions.set_cookie_header(
            next(iter(console_app._sessions._session_by_token.values()))
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
        console_app(
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


def test_platform_data_older_than_seen_is_refused(platform, console_app):
    """Guards against a draft based on a table that was rolled back."""
    old_rows = dict(platform.rows.row_by_key)
    ama = browser.Browser(console_app, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    ama.post('/draft/submit')
    ama.get('/draft')
    platform.rows.row_by_key = old_rows
    assert ama.get('/draft').status == 503
    with pytest.raises(errors.UnavailableError):
        console_app._repository.newest_version()


def hidden_fields(page):
    """Return the hidden fields of a page's forms but for the token."""
    found = re.findall(r'type="hidden" name="(\w+)" value="([^"]*)"', page)
    return {key: text for key, text in found if key != 'csrf_token'}


def test_form_of_an_earlier_version_does_not_undo_a_later_change(
    platform, console_app
):
    """Guards against a form filled by one version and saved onto another."""
    ama = browser.Browser(console_app, 'ama')
    ama.get('/part/accounts/vanhoutte')
    seen = hidden_fields(ama.text)
    kofi = browser.Browser(console_app, 'kofi')
    kofi.post('/part/accounts/vanhoutte', weight='3')
    kofi.post('/draft/submit')
    ama.post('/draft/discard')
    ama.post('/part/accounts/vanhoutte', weight='1', limits__burst='9', **seen)
    assert ama.status == 409
    assert 'has changed since you opened this page' in ama.text
    assert 'value="9"' in ama.text
    assert 'Nothing differs' in ama.get('/draft').text
    ama.get('/part/accounts/vanhoutte')
    seen = hidden_fields(ama.text)
    ama.post('/part/accounts/vanhoutte', weight='3', limits__burst='9', **seen)
    ama.post('/draft/submit', **hidden_fields(ama.get('/draft').text))
    account = in_force(platform).accounts[0]
    assert (account.weight, account.limits.burst) == (3, 9)


def test_part_that_has_changed_is_not_removed_by_an_earlier_page(console_app):
    """Guards against the removal of a part that the operator has not seen."""
    ama = browser.Browser(console_app, 'ama')
    ama.post('/new/pools', name='extra')
    ama.get('/part/pools/extra')
    seen = hidden_fields(ama.text)
    ama.post('/part/pools/extra', kind='service')
    ama.post('/part/pools/extra', action='remove', **seen)
    assert ama.status == 409
    assert ama.get('/part/pools/extra').status == 200


def test_submission_puts_only_the_changes_that_were_shown_in_force(
    platform, console_app
):
    """Guards against a draft that was edited after the page of it."""
    ama = browser.Browser(console_app, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    seen = hidden_fields(ama.get('/draft').text)
    ama.post('/part/accounts/vanhoutte', weight='7')
    ama.post('/draft/submit', **seen)
    assert ama.status == 409
    assert 'weight changed from 1.0 to 7.0' in ama.text
    assert in_force(platform).accounts[0].weight == 1
    ama.post('/draft/submit', **hidden_fields(ama.text))
    assert in_force(platform).accounts[0].weight == 7


def test_draft_of_a_lost_version_is_not_submitted_onto_another_one(
    platform, console_app
):
    """Guards against a base version whose number stands for another document.

    The store was restored from a copy, and others have submitted since.
    """
    old_rows = dict(platform.rows.row_by_key)
    ama = browser.Browser(console_app, 'ama')
    ama.post('/part/accounts/vanhoutte', weight='2')
    ama.post('/draft/submit')
    ama.post('/new/pools', name='extra')
    platform.rows.row_by_key = old_rows
    other = browser.Browser(browser.console(platform), 'kofi')
    other.post('/part/accounts/vanhoutte', weight='3')
    other.post('/draft/submit')
    ama.post('/draft/submit')
    assert in_force(platform).accounts[0].weight == 3
