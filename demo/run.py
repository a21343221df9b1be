"""``make demo``: real requests through the whole path, then a clean stop."""

import pathlib
import sys
import tempfile
import types

from demo import cluster

ZONES = ('lier-a', 'lier-b', 'mechelen')
ENTRIES = ('entry-1', 'entry-2')
KEY_BY_ACCOUNT = types.MappingProxyType(
    {
        'authority': 'demo-key-authority',
        'vanhoutte': 'demo-key-vh',
    }
)


def setup_document() -> dict[str, object]:
    """Return a setup with one pool and an adapter for each account."""
    return {
        'pools': [{'name': 'base', 'loads_per_s': 10}],
        'accounts': [
            {
                'name': account,
                'applications': [
                    {
                        'name': 'app',
                        'key_digests': [cluster.key_digest(key)],
                        'grants': ['letters'],
                    },
                ],
                'adapters': [
                    {
                        'name': 'letters',
                        'pool': 'base',
                        'active_version': 1,
                        'versions': [
                            {'version': 1, 'source': f'{account}-letters-1'},
                        ],
                    },
                ],
            }
            for account, key in KEY_BY_ACCOUNT.items()
        ],
    }


def run(folder: pathlib.Path) -> None:
    """Run the demo in a folder."""
    system = cluster.Cluster(folder)
    try:
        system.start_platform()
        print(system.submit(setup_document(), 0))
        with system.parallel():
            for number, zone in enumerate(ZONES, start=1):
                system.start_upstream(f'up-{number}', 'base', zone)
            for name in ENTRIES:
                system.start_entry(name, ZONES[0])
        for name in ENTRIES:
            system.await_ready(name)
        for account, key in KEY_BY_ACCOUNT.items():
            for entry in ENTRIES:
                answer = system.call(
                    entry,
                    key,
                    {'model': 'letters', 'prompt': 'hello', 'max_tokens': 4},
                )
                print(account, entry, answer.status, answer.data.decode())
                if answer.status != 200:
                    raise RuntimeError('the demo request failed')
        streamed = system.call(
            'entry-1',
            KEY_BY_ACCOUNT['authority'],
            {'model': 'letters@1', 'prompt': 'x', 'stream': True},
        )
        print('streamed', streamed.status, streamed.data[-14:])
    finally:
        system.stop()


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix='ivystep-demo-') as folder:
        run(pathlib.Path(folder))
    print('The demo is complete.')
    sys.exit(0)


if __name__ == '__main__':
    main()
