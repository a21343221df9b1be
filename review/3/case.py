"""After a drill of the store, two machines give orders with one fence number.

The gateway that leads is restarted for planned work, and another one takes its
lease over. In a drill the store then returns to a copy from before that. The
restarted gateway finds its own lease in the copy and takes it again.
"""

import asyncio
import itertools

from review import (
    clients,
    deployment,
    gateways,
    http,
    servers,
    store,
)

ENGINES = 2
PLAY_BEFORE_S = 3.0
CALL_INTERVAL_S = 0.25
# The first gateway has a stream that lasts so long after the SIGTERM. It ends
# within the time that the platform gives a process to stop.
STREAM_LEFT_S = 5.8
STEP_S = 0.2
# The store returns so long after the SIGTERM to a copy from just before it.
COPY_BEFORE_S = 0.4
DRILL_AFTER_S = 5.6
AWAY_S = 0.2
RESTART_DELAY_S = 0.5
PLAY_ON_S = 8.0
LEASE_S = 3.0


async def play(deployed: deployment.Deployment) -> int:
    """Restart the leader, return the store to a copy, and compare orders."""
    deployed.write_config()
    await asyncio.gather(
        *(_add_engine(deployed, number) for number in range(ENGINES))
    )
    await deployed.add_gateways('front-1', 'front-2')
    first = deployed.leader()
    other = next(one for one in deployed.gateways if one is not first)
    deployed.spawn(_keep_calling(deployed, other.callers))
    await asyncio.sleep(PLAY_BEFORE_S)
    # Long streams are why a process needs some seconds to stop.
    events = int(STREAM_LEFT_S / STEP_S)
    deployed.spawn(_call(deployed, first.callers, 'a1', events))
    copied = deployed.rows.copy()
    await asyncio.sleep(COPY_BEFORE_S)
    if deployed.is_troubled:
        deployed.spawn(_drill(deployed, copied))
    await _restart(deployed, first)
    return _judge(deployed)


async def _add_engine(deployed: deployment.Deployment, number: int) -> None:
    name = f'engine-{number}'
    address = deployed.new_address()
    await deployed.add_server(
        servers.Engine(name, deployment.ENGINES, address, step_s=STEP_S)
    )


async def _restart(
    deployed: deployment.Deployment, gateway: gateways.Gateway
) -> None:
    """Stop a gateway as the platform does, start it again, and play on."""
    deployed.record.add(f'SIGTERM to {gateway.name}, which leads')
    await gateway.stop()
    deployed.record.add(f'{gateway.name} has ended')
    await asyncio.sleep(RESTART_DELAY_S)
    await gateway.start()
    deployed.record.add(f'{gateway.name} is ready again')
    await asyncio.sleep(PLAY_ON_S)


async def _drill(deployed: deployment.Deployment, copied: store.Copy) -> None:
    """Return the store to a copy; the others write their rows again."""
    await asyncio.sleep(DRILL_AFTER_S)
    rows = deployed.rows
    rows.mode = store.Mode.SILENT
    deployed.record.add('the store is away')
    await asyncio.sleep(AWAY_S)
    rows.restore(copied)
    rows.mode = store.Mode.SERVE
    deployed.write_config()
    for server in deployed.servers:
        server.beat(rows)
    deployed.record.add('the store is back from a copy')


async def _keep_calling(
    deployed: deployment.Deployment, address: http.Address
) -> None:
    """Ask for one adapter after the other, so that orders are needed."""
    numbers = itertools.count(100)
    while True:
        deployed.spawn(_call(deployed, address, f'a{next(numbers)}', 2))
        await asyncio.sleep(CALL_INTERVAL_S)


async def _call(
    deployed: deployment.Deployment,
    address: http.Address,
    adapter: str,
    events: int,
) -> None:
    request_id = clients.new_id('draft')
    deployed.record.add(f'client sends {request_id} for {adapter}')
    encoded = clients.encode_draft(request_id, adapter, events)
    answer = await clients.call(address, encoded, 30)
    status = answer.status if answer else 'no complete answer'
    deployed.record.add(f'client gets for {request_id}: {status}')


def _judge(deployed: deployment.Deployment) -> int:
    """Return whether fence numbers came twice or went down at a replica."""
    broken = []
    holders = set()
    for server in deployed.servers:
        deployed.record_orders(server)
        holders |= {order.holder for order in server.orders}
        broken.extend(_find_broken(server))
    if len(holders) < len(deployed.gateways):
        raise deployment.CannotRunError(f'only {holders} gave orders')
    deployed.record.add(f'ONE: {broken}')
    return deployment.BROKEN if broken else deployment.HELD


def _find_broken(engine: servers.Engine) -> list[str]:
    """Return the first orders at an engine that break the rule, in words."""
    holder_by_token: dict[int, str] = {}
    broken = {}
    for order in engine.orders:
        known = holder_by_token.setdefault(order.token, order.holder)
        if known != order.holder:
            broken.setdefault('same', f'{order.token} of two holders')
        highest = max(holder_by_token)
        if order.token < highest:
            broken.setdefault('lower', f'{order.token} after {highest}')
    return [f'{engine.server_id}: {words}' for words in broken.values()]


if __name__ == '__main__':
    deployment.run(play)
