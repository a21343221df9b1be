"""Demo of entries, sidecars and engines as processes (``make demo``).

Sends requests through the deployment and then stops all processes.
"""

import pathlib
import sys
import tempfile
import types

import urllib3

from demo import cluster

DATA_CENTRES = ('lier-a', 'lier-b', 'mechelen')
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
                    {
                        'name': 'dosages',
                        'key_digests': [cluster.key_digest(f'{key}-once')],
                        'grants': ['letters'],
                        'idempotent': False,
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
    """Run the demo with settings and logs in a folder."""
    system = cluster.Cluster(folder)
    try:
        system.start_platform()
        print(system.submit(setup_document(), 0))
        with system.parallel():
            for number, data_centre in enumerate(DATA_CENTRES, start=1):
                system.start_upstream(f'up-{number}', 'base', data_centre)
            for name in ENTRIES:
                system.start_entry(name, DATA_CENTRES[0])
        for name in ENTRIES:
            system.await_ready(name)
        show_adapters(system)
        show_stream(system)
        show_at_most_once(system)
    finally:
        system.stop()


def show_adapters(system: cluster.Cluster) -> None:
    """Call one adapter of each account through each entry."""
    body = {'model': 'letters', 'prompt': 'hello', 'max_tokens': 4}
    for account, key in KEY_BY_ACCOUNT.items():
        for entry in ENTRIES:
            answer = system.call(entry, key, body)
            check_status(answer, 200)
            text = answer.json()['choices'][0]['text']
            print(f'{account} through {entry}: {text}')


def show_stream(system: cluster.Cluster) -> None:
    """Stream an answer of an explicitly requested adapter version."""
    key = KEY_BY_ACCOUNT['authority']
    body = {'model': 'letters@1', 'prompt': 'x', 'stream': True}
    answer = system.call(ENTRIES[0], key, body)
    check_status(answer, 200)
    events = answer.data.count(b'data: ')
    print(f'streamed: {events} events, the last {answer.data.split()[-1]!r}')


def show_at_most_once(system: cluster.Cluster) -> None:
    """Send an at-most-once request through two entries; one may run it."""
    key = f'{KEY_BY_ACCOUNT["authority"]}-once'
    body = {'model': 'letters', 'prompt': 'dosage 1', 'max_tokens': 4}
    headers = {'Idempotency-Key': 'dosage-1'}
    first, second = (
        system.call(entry, key, body, **headers) for entry in ENTRIES
    )
    check_status(first, 200)
    check_status(second, 409)
    runs = sum(
        system.http.request('GET', f'{node.url}/counts')
        .json()
        .get('dosage 1', 0)
        for name, node in system.node_by_name.items()
        if name.endswith('-engine')
    )
    print(f'sent twice, runs: {runs}; second answer: {second.data.decode()}')
    if runs != 1:
        raise RuntimeError('the at-most-once request did not run exactly once')


def check_status(answer: urllib3.BaseHTTPResponse, status: int) -> None:
    """Check the status of an answer.

    Raises:
        RuntimeError: The status differs.
    """
    if answer.status != status:
        raise RuntimeError(
            f'unexpected status {answer.status}: {answer.data.decode()}'
        )


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix='ivystep-demo-') as folder:
        run(pathlib.Path(folder))
    print('The demo is complete.')
    sys.exit(0)


if __name__ == '__main__':
    main()
