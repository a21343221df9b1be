"""Reads the reports of engines."""

from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock
from ivystep.traffic import orders, upstreams


def read_report(
    api: orders.EngineApi, upstream: upstream_state.Upstream
) -> upstreams.EngineReport:
    """Read an engine's report and update the known state of the engine.

    Args:
        api: Client of the engines.
        upstream: The engine.

    Returns:
        The report.

    Raises:
        errors.LinkError: The engine sent no valid report.
    """
    report = api.read_report(upstream.entry.address)
    upstream.on_report(report, clock.now())
    return report
