"""Builds ``dist/ivystep``, one executable with all subcommands.

The file is a small launcher that contains the interpreter, followed by an
uncompressed ZIP archive of the standard library, the pinned packages and
ivystep. It needs the host's C library, OpenSSL libraries and libffi.
"""

import importlib.metadata
import importlib.util
import pathlib
import py_compile
import re
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / 'dist' / 'ivystep'
SKIPPED_FOLDERS = frozenset(
    {
        '__pycache__',
        'ensurepip',
        'idlelib',
        'lib2to3',
        'pip',
        'pydoc_data',
        'site-packages',
        'test',
        'tests',
        'tkinter',
        'turtledemo',
    }
)
EXTENSION_TAG = sysconfig.get_config_var('EXT_SUFFIX')
NAME_PATTERN = re.compile(r'[\w.-]+')
DATA_SUFFIXES = frozenset({'.html', '.txt', '.typed'})


def compile_launcher(folder: pathlib.Path) -> pathlib.Path:
    """Compile and link the launcher.

    Args:
        folder: Folder for the result.

    Returns:
        Path of the launcher.
    """
    target = folder / 'launcher'
    config = sysconfig.get_config_vars()
    library = pathlib.Path(config['LIBPL']) / config['LIBRARY']
    command = [
        *config['CC'].split(),
        '-O2',
        '-s',
        f'-I{sysconfig.get_path("include")}',
        str(ROOT / 'tools' / 'launcher.c'),
        '-o',
        str(target),
        '-Wl,--whole-archive',
        str(library),
        '-Wl,--no-whole-archive',
        '-Wl,--export-dynamic',
        *config['LIBS'].split(),
        *config['SYSLIBS'].split(),
    ]
    subprocess.run(command, check=True)
    return target


def runtime_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Return the installed distributions that ivystep needs, by name."""
    wanted = [
        line.partition('==')[0]
        for line in (ROOT / 'requirements.txt').read_text().split()
    ]
    found: dict[str, importlib.metadata.Distribution] = {}
    while wanted:
        distribution = importlib.metadata.distribution(wanted.pop())
        name = distribution.metadata['Name'].lower()
        if name in found:
            continue
        found[name] = distribution
        # Requirements with a marker are optional or for other platforms.
        wanted.extend(
            NAME_PATTERN.match(requirement)[0]
            for requirement in distribution.requires or ()
            if ';' not in requirement
        )
    return found


def add_distribution(
    archive: zipfile.ZipFile, distribution: importlib.metadata.Distribution
) -> None:
    """Add the files of an installed distribution.

    Args:
        archive: Archive to fill.
        distribution: The distribution.
    """
    for entry in distribution.files or ():
        if '..' in entry.parts or SKIPPED_FOLDERS.intersection(entry.parts):
            continue
        path = pathlib.Path(distribution.locate_file(entry))
        add_file(archive, path, entry.as_posix())


def add_tree(
    archive: zipfile.ZipFile, folder: pathlib.Path, prefix: str = ''
) -> None:
    """Add the modules below a folder.

    Args:
        archive: Archive to fill.
        folder: Folder on the module search path.
        prefix: Name of the package that the folder holds, if it is one.
    """
    for path in sorted(folder.rglob('*')):
        relative = path.relative_to(folder)
        if path.is_dir() or SKIPPED_FOLDERS.intersection(relative.parts):
            continue
        name = (pathlib.PurePosixPath(prefix) / relative.as_posix()).as_posix()
        if name.startswith('lib-dynload/'):
            name = name.removeprefix('lib-dynload/')
        add_file(archive, path, name)


def add_file(archive: zipfile.ZipFile, path: pathlib.Path, name: str) -> None:
    """Add one module, extension module or data file.

    Args:
        archive: Archive to fill.
        path: The file.
        name: Its name in the archive.
    """
    if path.suffix == '.py':
        compiled = py_compile.compile(
            str(path),
            cfile=importlib.util.cache_from_source(
                str(ROOT / 'build' / 'pyc' / name)
            ),
            dfile=name,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            doraise=True,
        )
        archive.write(compiled, f'{name}c')
    elif path.suffix == '.so':
        stem = name.removesuffix(EXTENSION_TAG).removesuffix('.abi3.so')
        archive.write(path, f'{stem.removesuffix(".so")}.so')
    elif path.suffix in DATA_SUFFIXES or path.name in {
        'METADATA',
        'entry_points.txt',
    }:
        archive.write(path, name)


def main() -> None:
    """Build the binary."""
    OUTPUT.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        launcher = compile_launcher(pathlib.Path(scratch))
        OUTPUT.write_bytes(launcher.read_bytes())
    with zipfile.ZipFile(OUTPUT, 'a', zipfile.ZIP_STORED) as archive:
        add_tree(archive, pathlib.Path(sysconfig.get_path('stdlib')))
        for distribution in runtime_distributions().values():
            add_distribution(archive, distribution)
        add_tree(archive, ROOT / 'ivystep', 'ivystep')
        bootstrap = ROOT / 'tools' / 'bootstrap.py'
        add_file(archive, bootstrap, 'bootstrap.py')
    OUTPUT.chmod(0o755)
    sys.stdout.write(f'{OUTPUT}: {OUTPUT.stat().st_size} bytes\n')


if __name__ == '__main__':
    main()
