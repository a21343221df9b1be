"""Main module of the binary: makes extension modules importable and runs.

The dynamic linker loads extension modules from files only. Each one is copied
to an anonymous memory file, so that nothing is unpacked to disk.
"""

import importlib.machinery
import importlib.util
import posix
import sys

SUFFIX = '.so'


class ArchiveExtensionFinder:
    """Finds extension modules in the program's ZIP archive."""

    def __init__(self, archive):
        self._archive = archive
        self._name_by_module = {
            name.removesuffix(SUFFIX).replace('/', '.'): name
            for name in archive._files
            if name.endswith(SUFFIX)
        }

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, None for other modules."""
        name = self._name_by_module.get(fullname)
        if name is None:
            return None
        descriptor = posix.memfd_create(fullname)
        # ``posix`` is used because eventlet patches the functions of ``os``.
        remaining = memoryview(self._archive.get_data(name))
        while remaining:
            remaining = remaining[posix.write(descriptor, remaining) :]
        location = f'/proc/self/fd/{descriptor}'
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


def run():
    """Run the ``ivystep`` command line."""
    archive = __spec__.loader
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive))
    from ivystep import __main__ as program

    program.main()


run()
