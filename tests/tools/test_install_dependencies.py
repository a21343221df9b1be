"""Tests the installation of the deployed program's dependencies."""

import json
import pathlib
import subprocess
import sys
import sysconfig
import tomllib

import pytest

from tools import install_dependencies as tool

ROOT = pathlib.Path(__file__).resolve().parents[2]
MODULES = ('first', 'second')


class Installer:
    """Installs two modules; fails half way if told so."""

    def __init__(self):
        self.calls = 0
        self.fails = False

    def __call__(self, folder, requirements):
        self.calls += 1
        for name in MODULES:
            package = folder / name
            package.mkdir()
            (package / '__init__.py').write_text(f'NAME = {name!r}\n')
            if self.fails:
                raise subprocess.CalledProcessError(1, ['pip'])


@pytest.fixture
def requirements(tmp_path):
    path = tmp_path / 'requirements.txt'
    path.write_text('first==1\n')
    return path


@pytest.fixture
def installer():
    return Installer()


def installed(folder):
    return sorted(path.name for path in folder.iterdir() if path.is_dir())


def test_folder_that_is_whole_is_kept(tmp_path, requirements, installer):
    folder = tmp_path / 'target' / 'deps'
    assert tool.ensure_installed(folder, requirements, installer)
    # The interpreter writes bytecode beside the modules.
    (folder / 'first' / '__pycache__').mkdir()
    (folder / 'first' / '__pycache__' / 'x.pyc').write_bytes(b'code')
    assert not tool.ensure_installed(folder, requirements, installer)
    assert installer.calls == 1


@pytest.mark.parametrize(
    'damage', ['empty', 'cut', 'short', 'unmarked', 'file']
)
def test_folder_that_lost_files_is_installed_again(
    tmp_path, requirements, installer, damage
):
    folder = tmp_path / 'target' / 'deps'
    tool.ensure_installed(folder, requirements, installer)
    module = folder / 'second' / '__init__.py'
    if damage == 'cut':
        module.unlink()
    elif damage == 'short':
        module.write_text('')
    elif damage == 'unmarked':
        (folder / tool.MARK_NAME).unlink()
    else:
        folder.rename(tmp_path / 'moved')
        if damage == 'empty':
            folder.mkdir()
        else:
            folder.write_text('')
    assert tool.ensure_installed(folder, requirements, installer)
    assert installed(folder) == list(MODULES)
    assert 'second' in module.read_text()


@pytest.mark.parametrize('field', ['python', 'platform', 'requirements'])
def test_folder_of_another_machine_is_installed_again(
    tmp_path, requirements, installer, field
):
    folder = tmp_path / 'deps'
    tool.ensure_installed(folder, requirements, installer)
    path = folder / tool.MARK_NAME
    mark = json.loads(path.read_text())
    path.write_text(json.dumps({**mark, field: 'another'}))
    assert tool.ensure_installed(folder, requirements, installer)
    assert json.loads(path.read_text()) == mark


def test_changed_requirements_are_installed(tmp_path, requirements, installer):
    folder = tmp_path / 'deps'
    tool.ensure_installed(folder, requirements, installer)
    requirements.write_text('first==2\n')
    assert tool.ensure_installed(folder, requirements, installer)


def test_failed_installation_leaves_the_folder_as_it_was(
    tmp_path, requirements, installer
):
    folder = tmp_path / 'target' / 'deps'
    tool.ensure_installed(folder, requirements, installer)
    requirements.write_text('first==2\n')
    installer.fails = True
    with pytest.raises(subprocess.CalledProcessError):
        tool.ensure_installed(folder, requirements, installer)
    assert installed(folder) == list(MODULES)
    assert [path.name for path in folder.parent.iterdir()] == ['deps']


def test_build_does_not_take_an_empty_folder_for_whole(tmp_path):
    """Guards against a build that succeeds although nothing is installed."""
    (tmp_path / 'requirements.txt').write_text('')
    (tmp_path / 'tools').symlink_to(ROOT / 'tools')
    folder = tmp_path / 'target' / 'deps'
    folder.mkdir(parents=True)
    build = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['build']
    subprocess.run(['sh', '-c', build], check=True, cwd=tmp_path)
    mark = json.loads((folder / tool.MARK_NAME).read_text())
    assert mark['platform'] == sysconfig.get_platform()
    assert mark['python'] == sys.implementation.cache_tag


def test_arguments_that_are_missing_are_reported(capsys):
    assert tool.main(['target/deps']) == tool.EXIT_USAGE
    assert 'Usage' in capsys.readouterr().err
