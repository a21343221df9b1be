"""A leader that is stopped while the store is silent cuts requests off.

The platform's store falls silent. A second later the gateway that leads is
stopped for planned work. Clients that had been idle for some seconds go on to
use their open connections, as the platform's pages allow.
"""

import asyncio
import time
import types

from review import clients, deployment, gateways, http, servers, store

# Bounds of the site vhw-lier-grown that differ from those of gsnpa-plans.
SITE_BOUNDS = types.MappingProxyType(
    {'drain_ms': 3000, 'config_ms': 3000, 'budget_extra': 90}
)
CLIENTS = 30
SERVERS = 4
# The first requests come so long before the SIGTERM, the next ones so long
# after it. Clients use connections again that were idle for up to 12 s, four
# fifths of the time for which the gateway keeps them.
FIRST_BEFORE_S = 3.5
NEXT_AFTER_S = 5.0
NEXT_FOR_S = 3.0
WORK_S = 0.3
SILENT_BEFORE_S = 1.0
SILENT_S = 6.5
ANSWER_TIMEOUT_S = 3.0


async def play(deployed: deployment.Deployment) -> int:
    """Stop the leader during the silence and look for cut requests."""
    deployed.write_config()
    deployed.bounds |= SITE_BOUNDS
    await asyncio.gather(
        *(_add_server(deployed, number) for number in range(SERVERS))
    )
    await deployed.add_gateways('front-1', 'front-2', 'front-3')
    leader = deployed.leader()
    stop_at = time.monotonic() + FIRST_BEFORE_S
    callers = [
        asyncio.create_task(_call_twice(deployed, leader, stop_at, one))
        for one in range(CLIENTS)
    ]
    if deployed.is_troubled:
        deployed.spawn(_silence(deployed, stop_at))
    await asyncio.sleep(stop_at - time.monotonic())
    deployed.record.add(f'SIGTERM to {leader.name}, which leads')
    await leader.stop()
    deployed.record.add(f'{leader.name} has ended')
    cut = [one for one in await asyncio.gather(*callers) if one]
    return _judge(deployed, cut)


async def _add_server(deployed: deployment.Deployment, number: int) -> None:
    name = f'sheets-{number}'
    address = deployed.new_address()
    await deployed.add_server(
        servers.Server(name, deployment.PLAIN, address, WORK_S)
    )


async def _silence(deployed: deployment.Deployment, stop_at: float) -> None:
    await asyncio.sleep(stop_at - SILENT_BEFORE_S - time.monotonic())
    deployed.record.add('the store falls silent')
    deployed.rows.mode = store.Mode.SILENT
    await asyncio.sleep(SILENT_S)
    deployed.rows.mode = store.Mode.SERVE
    deployed.record.add('the store answers again')


async def _call_twice(
    deployed: deployment.Deployment,
    gateway: gateways.Gateway,
    stop_at: float,
    number: int,
) -> str:
    """Use one connection twice.

    Returns:
        Id of the second request if it was cut off; empty otherwise.
    """
    channel = await http.Channel.connect(gateway.callers)
    request_id = clients.new_id('first')
    answer = await clients.exchange(
        channel, clients.encode_sheet(request_id), ANSWER_TIMEOUT_S
    )
    if answer is None or answer.status != 200:
        raise deployment.CannotRunError(f'{request_id} failed')
    next_at = stop_at + NEXT_AFTER_S + NEXT_FOR_S * number / CLIENTS
    await asyncio.sleep(next_at - time.monotonic())
    request_id = clients.new_id('next')
    if channel.has_ended:
        deployed.record.add(f'the connection for {request_id} was closed')
        return ''
    deployed.record.add(f'client sends {request_id} on its open connection')
    sent_at = time.monotonic()
    answer = await clients.exchange(
        channel, clients.encode_sheet(request_id), ANSWER_TIMEOUT_S
    )
    status = answer.status if answer else 'no complete answer'
    deployed.record.add(
        f'client gets for {request_id}: {status}, '
        f'{time.monotonic() - sent_at:.3f} s after it was sent'
    )
    return '' if answer else request_id


def _judge(deployed: deployment.Deployment, cut: list[str]) -> int:
    """Return whether requests were cut off that a server had begun to run."""
    ran = deployed.record_runs()
    lost = [request_id for request_id in cut if request_id in ran]
    deployed.record.add(f'LOST: passed on and cut off: {lost}')
    return deployment.BROKEN if lost else deployment.HELD


if __name__ == '__main__':
    deployment.run(play)
