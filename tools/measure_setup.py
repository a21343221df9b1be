"""Measures memory and load time of a setup (``python -m tools.measure_setup``).

Builds a setup of many accounts in memory, loads it as an entry does and then
loads versions that change one account each.
"""

import dataclasses
import gc
import sys
import time
import tracemalloc
import typing

import cappa

from ivystep.platform import objects
from ivystep.setup import document, index, loader, snapshot

CHANGES = 20


@cappa.command(name='measure_setup')
@dataclasses.dataclass
class Options:
    """Size of the setup.

    Attributes:
        adapters: Number of adapters.
        accounts: Number of accounts, which have equal numbers of adapters.
        traced: Whether to trace memory, which slows the load down.
    """

    adapters: int
    accounts: int
    traced: typing.Annotated[bool, cappa.Arg(long=True)] = False


def account(number: int, adapters: int, weight: float) -> document.Account:
    """Return an account with the given number of adapters."""
    names = [f'adapter-{index}' for index in range(adapters)]
    return document.Account.model_validate(
        {
            'name': f'account-{number}',
            'weight': weight,
            'applications': [
                {
                    'name': 'app',
                    'key_digests': [objects.digest_of(str(number).encode())],
                    'grants': names,
                }
            ],
            'adapters': [
                {
                    'name': name,
                    'pool': 'base',
                    'active_version': 1,
                    'versions': [
                        {
                            'version': 1,
                            'source': f'weights/account-{number}/{name}/1',
                        }
                    ],
                }
                for name in names
            ],
        }
    )


class PackedObjects:
    """An object store in memory that counts the bytes read."""

    def __init__(self) -> None:
        self.packed_by_digest: dict[str, bytes] = {}
        self.bytes_read = 0

    def put_all(self, part: snapshot.Snapshot) -> index.Manifest:
        """Store all objects of a snapshot and return its manifest."""
        for stored in part.objects():
            self.packed_by_digest[stored.digest] = stored.compressed
        return index.Manifest(root=part.root.digest, submission_id='sub')

    def get(self, digest: str) -> bytes:
        """Return the bytes of an object."""
        body = snapshot.StoredObject(digest, self.packed_by_digest[digest]).body
        self.bytes_read += len(body)
        return body


def main() -> None:
    """Print the measurements for one size of setup."""
    options = cappa.parse(Options)
    per_account = options.adapters // options.accounts
    common = document.Common(pools=(document.Pool(name='base'),))
    store = PackedObjects()
    accounts = [
        account(number, per_account, 1) for number in range(options.accounts)
    ]
    manifest = store.put_all(snapshot.build(common, accounts))
    if options.traced:
        del accounts
        gc.collect()
        tracemalloc.start()
    started = time.perf_counter()
    loaded = loader.load(1, manifest, store.get, None)
    load_s = time.perf_counter() - started
    sys.stdout.write(
        f'{options.adapters} adapters, {options.accounts} accounts: '
        f'load {load_s:.3f} s\n'
    )
    if options.traced:
        memory = tracemalloc.get_traced_memory()[0]
        sys.stdout.write(f'loaded: {memory / 1e6:.1f} MB\n')
    else:
        sys.stdout.write(_changes(loaded, accounts, store))


def _changes(
    loaded: loader.LoadedVersion,
    accounts: list[document.Account],
    store: PackedObjects,
) -> str:
    durations = []
    common = loaded.snapshot.read_common()
    store.bytes_read = 0
    for number in range(CHANGES):
        accounts[number] = accounts[number].model_copy(update={'weight': 2.0})
        manifest = store.put_all(snapshot.build(common, accounts))
        started = time.perf_counter()
        loaded = loader.load(number + 2, manifest, store.get, loaded)
        durations.append(time.perf_counter() - started)
    durations.sort()
    return (
        f'one account changed: median {durations[CHANGES // 2] * 1e3:.2f} ms, '
        f'longest {durations[-1] * 1e3:.2f} ms, '
        f'{store.bytes_read / CHANGES / 1e3:.1f} kB read\n'
    )


if __name__ == '__main__':
    main()
