"""Reads the reports of engines."""

from ivystep.core import errors
from ivystep.gateway.loads import leader_events
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock, event_log
from ivystep.traffic import orders, upstreams


def read_report(
    api: orders.EngineApi,
    upstream: upstream_state.Upstream,
    log: event_log.EventLog,
) -> upstreams.EngineReport:
    """Read an engine's report and update the known state of the engine.

    Args:
        api: Client of the engines.
        upstream: The engine.
        log: Event log of failed reads.

    Returns:
        The report.

    Raises:
        errors.MisdirectedError: Another upstream is at the entry's address, to
            which nothing is sent until the entry changes.
        errors.LinkError: The engine sent no valid report.
    """
    sent_at = clock.now()
    try:
        report = api.read_report(upstream.entry.endpoint)
    except errors.MisdirectedError as error:
        upstream.on_misdirected()
        log.write(leader_events.ReportFailed(upstream.upstream_id, str(error)))
        raise
    except errors.LinkError as error:
        log.write(leader_events.ReportFailed(upstream.upstream_id, str(error)))
        raise
    upstream.on_report(report, sent_at)
    return report
