"""Tests of the operators' commands against platform stand-ins on loopback."""

import contextlib
import json
import pathlib

import pytest

from ivystep.cli import main
from standins import hosts, objects, table
from tests import serving
from tests.setup import fakes

ENTRY_INI = """
[process]
id = entry-1
data_centre = lier-a
log_levle = INFO
[listen]
address = 127.0.0.1
port = 80800
[operators]
address = 127.0.0.1
port = nan
[drain]
notice_s = inf
[tracing]
on = yes
"""


@pytest.fixture
def platform(tmp_path):
    """Serve the platform; yield its stand-ins and a settings file."""
    standin_by_name = {
        'table': table.TableStandin(),
        'objects': objects.ObjectsStandin(),
        'hosts': hosts.HostsStandin(),
    }
    lines = ['[platform]']
    config = tmp_path / 'operators.ini'
    with contextlib.ExitStack() as servers:
        for name, standin in standin_by_name.items():
            port = servers.enter_context(serving.serve(standin.handle))
            lines.append(f'{name}_url = http://127.0.0.1:{port}')
        config.write_text('\n'.join(lines), encoding='utf-8')
        yield standin_by_name, str(config)


@pytest.fixture
def run(capsys, tmp_path, monkeypatch):
    """Return a function that runs a command.

    The function returns the exit code, standard output and standard error.
    """
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv('COLUMNS', '80')

    def call(*arguments):
        code = 0
        try:
            main.main(arguments)
        except SystemExit as error:
            code = error.code
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


def write(name, content):
    path = pathlib.Path(name)
    text = content if isinstance(content, str) else json.dumps(content)
    path.write_text(text, encoding='utf-8')
    return name


@pytest.mark.parametrize(
    'command',
    ['', 'check', 'submit', 'diff', 'history', 'restore', 'status', 'loadgen'],
)
def test_help(run, snapshot, command):
    """Guards against unnoticed changes of the help texts."""
    assert run(*command.split(), '--help')[1] == snapshot


def test_settings_errors_name_file_section_and_key(run, snapshot):
    """Guards against settings errors that do not say what to correct."""
    write('entry.ini', ENTRY_INI)
    code, _, text = run('check', 'entry.ini', '--kind', 'entry')
    assert code == 2
    assert text == snapshot


@pytest.mark.parametrize(
    'content',
    [
        '[process]\nid = a\nid = b\n',
        '[DEFAULT]\nid = a\n',
        'id = a\n',
        '[a]\n' + 'x' * 2000000,
        '[process\n',
        '\x00\x01',
    ],
)
def test_malformed_settings_give_one_short_error(run, content):
    """Guards against missing or very long errors for malformed settings."""
    write('entry.ini', content)
    code, _, text = run('check', 'entry.ini', '--kind', 'entry')
    assert code == 2
    assert text.startswith('entry.ini: ')
    assert len(text) < 1000


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        ('{', 'document: Expecting'),
        ('[' * 100000, 'nested too deeply'),
        ('[' * 1000001, 'more than 1000000 objects and arrays'),
        ('{"pools": NaN}', 'NaN is not a JSON number'),
        ('{"pools": [], "pools": []}', "field 'pools' is repeated"),
        ('[]', 'document: Input should be'),
        ('{"pools": 9' + '9' * 5000 + '}', 'document: '),
        ('{"pools": [], "pool": 1}', 'pool: Extra inputs'),
        (json.dumps({f'k{n}': 1 for n in range(99)}), 'more than 64 fields'),
    ],
)
def test_malformed_documents_give_clear_errors(run, content, expected):
    """Guards against crashes and unbounded memory use by bad documents."""
    write('setup.json', content)
    code, _, text = run('check', 'setup.json')
    assert code == 2
    assert text.startswith('setup.json: ')
    assert expected in text
    assert len(text) < 3000


def test_document_errors_name_the_account_and_adapter(run, snapshot):
    """Guards against errors that only give the index in a long list."""
    broken = fakes.account('vanhoutte')
    broken['adapters'][0]['pool'] = 'Base!'
    broken['weight'] = -1
    write('a.json', fakes.raw_document(fakes.account('authority'), broken))
    unknown = fakes.account('vanhoutte')
    unknown['adapters'][0]['pool'] = 'other'
    write('b.json', fakes.raw_document(unknown))
    assert run('check', 'a.json') == snapshot
    assert run('check', 'b.json') == snapshot


def test_conflicting_and_uncertain_submissions(run, platform):
    """Guards against a lost change and against a refusal without a reason.

    The first operator's second submission loses its answer; the other
    operator then submits on an outdated version.
    """
    standins, config = platform
    write('a.json', fakes.raw_document(fakes.account('authority')))
    write('b.json', fakes.raw_document(fakes.account('authority', active=2)))
    write('c.json', fakes.raw_document(fakes.account('authority', weight=2)))

    def submit(path, base, operator):
        options = ('--config', config, '--operator', operator)
        return run('submit', path, '--base-version', str(base), *options)

    assert submit('a.json', 0, 'ama')[:2] == (0, 'Version 1 is accepted.\n')
    standins['table'].faults = {'mode': 'lose_answers'}
    code, text, _ = submit('b.json', 1, 'ama')
    assert (code, 'reading back confirmed' in text) == (0, True)
    standins['table'].faults = {'mode': 'none'}
    code, _, text = submit('c.json', 1, 'kofi')
    assert code == 1
    assert 'Changed since then' in text
    assert 'active_version changed from 1 to 2' in text
    write('bad.json', '{')
    assert submit('bad.json', 2, 'kofi')[0] == 2
    assert run('restore', '1', '--config', config, '--operator', 'ama')[0] == 0
    assert (
        json.loads(run('show', '--config', config)[1])['accounts'][0][
            'adapters'
        ][0]['active_version']
        == 1
    )
    text = run('history', '--config', config)[1]
    assert [text.count(word) for word in ('version 3 ', 'refused')] == [1, 2]
    assert 'nothing differs' in run('diff', 'a.json', '--config', config)[1]
    standins['table'].faults = {'mode': 'down'}
    code, _, text = run('history', '--config', config)
    assert (code, 'table service' in text) == (1, True)


def test_repeated_restore_keeps_to_the_version_that_it_was_based_on(
    run, platform
):
    """Guards against a repeat that undoes what others have changed since."""
    _, config = platform
    options = ('--config', config, '--operator', 'ama')
    for base, weight in enumerate((1, 2, 3)):
        account = fakes.account('authority', weight=weight)
        write('a.json', fakes.raw_document(account))
        submitted = run(
            'submit', 'a.json', '--base-version', str(base), *options
        )
        assert submitted[0] == 0
    repeat = ('restore', '1', '--submission', 'sub-lost', *options)
    assert run(*repeat)[0] == 2
    code, _, text = run(*repeat, '--base-version', '2')
    assert (code, 'weight changed from 2.0 to 3.0' in text) == (1, True)
    assert run(*repeat, '--base-version', '3')[0] == 0
    assert 'already been applied' in run(*repeat, '--base-version', '3')[1]


def test_restore_tells_the_version_that_it_is_based_on(run, platform):
    """Guards against a repeat whose base version nobody knows."""
    _, config = platform
    options = ('--config', config, '--operator', 'ama')
    write('a.json', fakes.raw_document(fakes.account('authority')))
    assert run('submit', 'a.json', '--base-version', '0', *options)[0] == 0
    write('a.json', fakes.raw_document(fakes.account('authority', weight=2)))
    assert run('submit', 'a.json', '--base-version', '1', *options)[0] == 0
    text = run('restore', '1', *options)[2]
    assert 'based on version 2' in text


def test_status_lists_all_problems(run, platform, tmp_path):
    """Guards against a summary that omits an unreachable or misnamed host."""
    standins, config = platform
    answer = {
        'process_id': 'entry-1',
        'role': 'entry',
        'is_ready': True,
        'is_draining': False,
        'setup_version': 4,
        'setup_age_s': 1.0,
        'problems': ['The setup has not been confirmed for 60 s.'],
    }
    standins['hosts'].document = {
        'hosts': [
            {
                'host': name,
                'role': role,
                'address': address,
                'port': 1,
                'data_centre': 'lier-a',
                'pool': pool,
                'state': 'live',
            }
            for name, role, address, pool in (
                ('entry-1', 'entry', '127.0.0.1', ''),
                ('up-1', 'sidecar', '127.0.0.9', 'base'),
                ('up-2', 'sidecar', '127.0.0.1', 'extra'),
            )
        ]
    }
    with (
        serving.serve(lambda _: (200, answer)) as port,
        pathlib.Path(config).open('a', encoding='utf-8') as stream,
    ):
        stream.write(f'\n[status]\noperators_port = {port}\n')
        stream.flush()
        code, text, _ = run('status', '--config', config)
    assert code == 1
    assert text.splitlines() == [
        'entry: 1 of 1 ready',
        'sidecar: 0 of 2 ready',
        'setup versions: 4',
        'problems: 5',
        '  pool base has no serving upstream',
        '  pool extra has no serving upstream',
        '  sidecar up-1 does not answer',
        '  sidecar up-2 is listed with the address of entry entry-1',
        '  entry entry-1: The setup has not been confirmed for 60 s.',
    ]
