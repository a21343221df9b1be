"""Updates a counter from several writers while answers are lost.

Run it with ``python -m examples.update_row``.
"""

import eventlet

from examples import local_table
from ivystep.coordination import cas

KEY = 'example/deliveries'
WRITERS = 3


def count_one(content: int | None) -> int:
    """Return the count after one more delivery."""
    return (content or 0) + 1


def main() -> None:
    """Run concurrent writers that get no answers."""
    local = local_table.LocalTable()
    with local.losing_answers():
        tasks = [
            eventlet.spawn(cas.update, local.rows, KEY, count_one)
            for _ in range(WRITERS)
        ]
        for task in tasks:
            task.wait()
    print(f'{WRITERS} writers counted {cas.read(local.rows, KEY)}.')


if __name__ == '__main__':
    local_table.patch()
    main()
