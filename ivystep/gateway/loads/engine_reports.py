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
) -> tuple[upstreams.EngineReport, float]:
    """Read an engine's report and update the known state of the engine.

    Args:
        api: Client of the engines.
        upstream: The engine.
        log: Event log of failed reads.

    Returns:
        The report, and the time of the call that it answers.

    Raises:
        errors.MisdirectedError: The report is not of the incarnation that is
            meant, or that one is gone; nothing of it is applied.
        errors.LinkError: The engine sent no valid report.
    """
    sent_at = clock.now()
    entry = upstream.entry
    try:
        _raise_if_gone(entry, upstream)
        report = _request(api, upstream)
        _raise_if_gone(entry, upstream)
        _raise_if_restarted(entry, report)
    except errors.LinkError as error:
        log.write(leader_events.ReportFailed(upstream.upstream_id, str(error)))
        raise
    asked_at = sent_at if report.asked_at is None else report.asked_at
    upstream.on_report(report, asked_at)
    return report, asked_at


def _request(
    api: orders.EngineApi, upstream: upstream_state.Upstream
) -> upstreams.EngineReport:
    """Request a report; nothing more is sent to a misdirected address."""
    try:
        return api.read_report(upstream.entry.endpoint)
    except errors.MisdirectedError:
        upstream.on_misdirected()
        raise


def _raise_if_gone(
    entry: upstreams.UpstreamEntry, upstream: upstream_state.Upstream
) -> None:
    """Raise an error if the upstream that an entry means is gone."""
    if upstream.is_gone or upstream.entry.identity != entry.identity:
        raise errors.MisdirectedError(
            "the entry was removed, or its address is another upstream's",
            step='report',
            peer=str(entry.endpoint),
        )


def _raise_if_restarted(
    entry: upstreams.UpstreamEntry, report: upstreams.EngineReport
) -> None:
    """Raise an error if a report is of another start than the entry.

    The id is that of the entry, so the address is not given up: the report may
    be from before the start that the entry tells of.
    """
    started = (entry.started_at_ms, report.started_at_ms)
    if all(started) and entry.started_at_ms != report.started_at_ms:
        raise errors.MisdirectedError(
            'the report is of another incarnation, started at '
            f'{report.started_at_ms} ms instead of {entry.started_at_ms} ms',
            step='report',
            peer=str(entry.endpoint),
        )
