"""Measures the processing time of quotas on the real clock.

Run as ``python -m measure.quotas``. A row gives the cost of one exchange at the
leader and at a host, with the codec, and of one request with credit and of one
that is refused, which need to stay flat as hosts and accounts grow.
"""

import gc
import itertools
import statistics
import time
from collections.abc import Callable

from ivystep.quotas import (
    host_credit,
    host_records,
    ledger,
    messages,
    reports,
    timing,
)
from ivystep.wire import channel

HOSTS = (4, 21, 68, 300, 1200)
ACCOUNTS = (16, 1000, 100000)
ACTIVE_ACCOUNTS = 16
COST = 2000
REPEATS = 200
WINDOW_S = 8.0
MICROSECONDS = 1e6
LIMIT = reports.Limit(1e9, 1e9)
SMALL_LIMIT = reports.Limit(1.0, 1.0)
HEADER = (
    '| hosts | accounts | report at a host | answer at the leader | '
    'request with credit | refused request |'
)


def table() -> str:
    """Measure all sizes and return a table of them."""
    lines = [
        '\nCost of quotas in microseconds, median\n',
        HEADER,
        '|---|---|---|---|---|---|',
    ]
    for hosts, accounts in itertools.product(HOSTS, ACCOUNTS):
        gc.collect()
        cells = ' | '.join(f'{cost:.1f}' for cost in measure(hosts, accounts))
        lines.append(f'| {hosts} | {accounts} | {cells} |')
    return '\n'.join(lines)


def measure(hosts: int, accounts: int) -> list[float]:
    """Return the median costs in microseconds.

    Args:
        hosts: Hosts that have reported lately.
        accounts: Accounts that have used credit lately.
    """
    book = ledger.Ledger(
        1,
        lambda account: SMALL_LIMIT if account == 'small' else LIMIT,
        host_records.HostRecords(0.0, WINDOW_S, is_first=True),
        WINDOW_S,
    )
    names = [f'account-{number}' for number in range(accounts)]
    reporting = [
        host_credit.HostCredit(f'host-{number}', 1, WINDOW_S)
        for number in range(hosts)
    ]
    _use_all_accounts(book, reporting[0], names)
    now = 1.0
    for joining in reporting[1:]:
        _exchange(book, joining, now)
        _exchange(book, joining, now)
    times: list[list[float]] = [[], [], [], []]
    credit = reporting[-1]
    for repeat in range(REPEATS):
        now += timing.REPORT_INTERVAL_S
        for other in reporting[:-1] if repeat % 5 == 0 else ():
            _exchange(book, other, now)
        for name in names[:ACTIVE_ACCOUNTS]:
            credit.decide(name, LIMIT, COST, now)
        credit.decide('small', SMALL_LIMIT, COST, now)
        _timed_exchange(book, credit, now, times)
        times[2].append(_time(credit.decide, names[0], LIMIT, 1, now))
        times[3].append(_time(credit.decide, 'small', SMALL_LIMIT, 2, now))
    return [statistics.median(part) * MICROSECONDS for part in times]


def _use_all_accounts(
    book: ledger.Ledger, credit: host_credit.HostCredit, names: list[str]
) -> None:
    _exchange(book, credit, 0.5)
    for name in names:
        credit.decide(name, LIMIT, COST, 0.5)
    _exchange(book, credit, 0.5)
    _exchange(book, credit, 0.5)


def _exchange(
    book: ledger.Ledger, credit: host_credit.HostCredit, now: float
) -> None:
    credit.apply(book.answer(credit.report(now), now), now)


def _timed_exchange(
    book: ledger.Ledger,
    credit: host_credit.HostCredit,
    now: float,
    times: list[list[float]],
) -> None:
    started = time.perf_counter()
    payload = channel.encode(messages.report_message(credit.report(now)))
    sent = time.perf_counter()
    message = channel.decode(payload[channel.HEADER.size :])
    grants = book.answer(messages.report(message), now)
    payload = channel.encode(messages.grants_message(grants))
    answered = time.perf_counter()
    message = channel.decode(payload[channel.HEADER.size :])
    credit.apply(messages.grants(message), now)
    times[0].append(sent - started + time.perf_counter() - answered)
    times[1].append(answered - sent)


def _time(call: Callable[..., object], *arguments: object) -> float:
    started = time.perf_counter()
    call(*arguments)
    return time.perf_counter() - started


if __name__ == '__main__':
    print(table())
