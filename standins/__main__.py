"""Runs a stand-in as a process (``python -m standins KIND PORT ...``)."""

import dataclasses
import os
import signal
import sys
import time
import typing

import cappa
import eventlet

from standins import (
    engine,
    hosts,
    objects,
    platform_engine,
    service,
    table,
    web,
    weights,
)

LOOPBACK = '127.0.0.1'


@cappa.command(name='standins', description='Run one stand-in.')
@dataclasses.dataclass
class Options:
    """Options of a stand-in."""

    kind: str
    port: int
    address: typing.Annotated[str, cappa.Arg(long=True)] = LOOPBACK
    slots: typing.Annotated[int, cappa.Arg(long=True)] = 8
    step_s: typing.Annotated[float, cappa.Arg(long=True)] = 0.01
    loads_per_s: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    weights_url: typing.Annotated[str, cappa.Arg(long=True)] = ''
    journal_path: typing.Annotated[str, cappa.Arg(long=True)] = ''
    delay_s: typing.Annotated[float, cappa.Arg(long=True)] = 0.0
    upstream_id: typing.Annotated[str, cappa.Arg(long=True)] = ''
    store_url: typing.Annotated[str, cappa.Arg(long=True)] = ''


def build(options: Options) -> web.Handler:
    """Return the handler of the stand-in that the options select."""
    if options.kind == 'engine':
        standin = engine.EngineStandin(
            options.slots,
            options.step_s,
            options.weights_url,
            journal_path=options.journal_path,
        )
        return standin.handle
    if options.kind == 'service':
        service_standin = service.ServiceStandin(options.delay_s)
        service_standin.started = time.time()
        return service_standin.handle
    if options.kind == 'platform-engine':
        platform = platform_engine.PlatformEngine(
            options.upstream_id,
            f'{options.address}:{options.port}',
            options.store_url,
            step_s=options.step_s,
        )
        eventlet.spawn(platform.run)
        return platform.handle
    if options.kind == 'weights':
        return weights.WeightsStandin(options.loads_per_s).handle
    plain_kinds = {
        'table': table.TableStandin,
        'objects': objects.ObjectsStandin,
        'hosts': hosts.HostsStandin,
    }
    return plain_kinds[options.kind]().handle


def main() -> None:
    """Serve until SIGTERM."""
    options = cappa.parse(Options)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    web.serve(build(options), (options.address, options.port))
    sys.stdout.write(f'{options.kind} listens on port {options.port}\n')
    sys.stdout.flush()
    while True:
        eventlet.sleep(3600)


if __name__ == '__main__':
    eventlet.monkey_patch()
    main()
