"""The sidecar daemon."""

import eventlet

from ivystep.runtime import clock, drain, logs
from ivystep.settings import models
from ivystep.sidecar import host, server
from ivystep.wire import tls

log = logs.get('sidecar')


def run(settings: models.SidecarSettings) -> None:
    """Run a sidecar until it has drained after SIGTERM.

    Args:
        settings: The validated settings.
    """
    signals = drain.DrainSignal()
    signals.install()
    beside = host.UpstreamHost(settings.process.id, settings.upstream)
    contexts = tls.TlsContexts(settings.tls.files)
    listener = eventlet.listen(settings.listen.socket_address)
    eventlet.spawn(beside.monitor)
    eventlet.spawn(server.SidecarServer(beside, contexts).serve, listener)
    log.info(
        'Sidecar %s serves incarnation %s.',
        beside.upstream_id,
        beside.incarnation,
    )
    signals.wait()
    log.info('Sidecar %s drains.', beside.upstream_id)
    beside.is_draining = True
    beside.notify()
    clock.sleep(settings.drain.notice_s)
    signals.finish(
        lambda: beside.attempts.running == 0, settings.drain.deadline_s
    )
    listener.close()
    log.info('Sidecar %s stopped.', beside.upstream_id)
