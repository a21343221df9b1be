"""Installs the dependencies of the deployed program into one folder.

Usage: ``install_dependencies.py FOLDER REQUIREMENTS``.

The folder is replaced only once a new one is whole. A mark in it names the
interpreter, the processor, the requirements and the installed files; a folder
that differs from its mark is installed again.
"""

import collections
import dataclasses
import hashlib
import json
import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import typing
from collections.abc import Callable, Iterator

MARK_NAME = '.installed.json'
EXIT_USAGE = 2
# The interpreter writes these folders after the installation.
BYTECODE_FOLDER = '__pycache__'

Install = Callable[[pathlib.Path, pathlib.Path], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """What a folder of dependencies was installed for.

    Attributes:
        python: Implementation and version of the interpreter.
        platform: Operating system and processor.
        requirements: SHA-256 digest of the requirements file.
        files: SHA-256 digest of the paths and sizes of the installed files.
    """

    python: str
    platform: str
    requirements: str
    files: str

    @classmethod
    def of_folder(
        cls, folder: pathlib.Path, requirements: pathlib.Path
    ) -> typing.Self:
        """Return the mark that a folder must have here.

        Args:
            folder: The folder of dependencies, with or without a mark.
            requirements: Path of the requirements file.
        """
        return cls(
            sys.implementation.cache_tag or '',
            sysconfig.get_platform(),
            hashlib.sha256(requirements.read_bytes()).hexdigest(),
            _files_digest(folder),
        )


def ensure_installed(
    folder: pathlib.Path, requirements: pathlib.Path, install: Install
) -> bool:
    """Install the dependencies unless the folder has them all.

    Args:
        folder: The folder of dependencies.
        requirements: Path of the requirements file.
        install: Installs requirements into a folder.

    Returns:
        Whether they were installed.

    Raises:
        OSError: The folder can't be written.
        subprocess.CalledProcessError: The installation failed; the folder is
            as it was.
    """
    if is_whole(folder, requirements):
        return False
    folder.parent.mkdir(parents=True, exist_ok=True)
    # Beside the folder, so that it can be renamed.
    with tempfile.TemporaryDirectory(
        dir=folder.parent, prefix=f'{folder.name}.'
    ) as scratch:
        installed = pathlib.Path(scratch) / 'new'
        installed.mkdir()
        install(installed, requirements)
        mark = Mark.of_folder(installed, requirements)
        (installed / MARK_NAME).write_text(
            json.dumps(dataclasses.asdict(mark)), encoding='utf-8'
        )
        _replace(folder, installed, pathlib.Path(scratch) / 'old')
    return True


def is_whole(folder: pathlib.Path, requirements: pathlib.Path) -> bool:
    """Return whether a folder has all dependencies, for this interpreter.

    Args:
        folder: The folder of dependencies.
        requirements: Path of the requirements file.
    """
    try:
        found = json.loads((folder / MARK_NAME).read_bytes())
    except (OSError, ValueError):
        return False
    return found == dataclasses.asdict(Mark.of_folder(folder, requirements))


def install_with_pip(folder: pathlib.Path, requirements: pathlib.Path) -> None:
    """Install requirements into an empty folder with pip.

    Args:
        folder: The folder of dependencies.
        requirements: Path of the requirements file.

    Raises:
        subprocess.CalledProcessError: The installation failed.
    """
    command = [sys.executable, '-m', 'pip', 'install', '--quiet']
    subprocess.run(
        [*command, '--target', str(folder), '--requirement', str(requirements)],
        check=True,
    )


def main(arguments: list[str]) -> int:
    """Install the dependencies and return the exit code.

    Args:
        arguments: Folder of the dependencies and path of the requirements.
    """
    if len(arguments) != 2:
        sys.stderr.write('Usage: install_dependencies FOLDER REQUIREMENTS\n')
        return EXIT_USAGE
    folder, requirements = map(pathlib.Path, arguments)
    try:
        ensure_installed(folder, requirements, install_with_pip)
    except subprocess.CalledProcessError as error:
        return error.returncode
    return 0


def _files_digest(folder: pathlib.Path) -> str:
    lines = sorted(f'{path} {size}\n' for path, size in _files(folder))
    return hashlib.sha256(''.join(lines).encode(errors='replace')).hexdigest()


def _files(folder: pathlib.Path) -> Iterator[tuple[pathlib.Path, int]]:
    """Yield the relative path and the size in bytes of each file."""
    pending = collections.deque([folder])
    while pending:
        for entry in os.scandir(pending.popleft()):
            path = pathlib.Path(entry.path)
            if entry.is_dir(follow_symlinks=False):
                if entry.name != BYTECODE_FOLDER:
                    pending.append(path)
            elif entry.name != MARK_NAME:
                size = entry.stat(follow_symlinks=False).st_size
                yield path.relative_to(folder), size


def _replace(
    folder: pathlib.Path, installed: pathlib.Path, old: pathlib.Path
) -> None:
    if folder.is_symlink() or folder.is_file():
        folder.unlink()
    elif folder.exists():
        folder.rename(old)
    try:
        installed.rename(folder)
    except OSError:
        # Another build may have put a whole folder there meanwhile.
        if not folder.is_dir():
            raise
        shutil.rmtree(installed)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
