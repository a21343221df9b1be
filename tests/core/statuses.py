"""Builds status reports of upstreams."""

from ivystep.core import types


def upstream_status(upstream_id, held=(), **more):
    """Return the report of an idle upstream.

    Args:
        upstream_id: Id of the upstream.
        held: Resident adapters, which no request uses.
        more: Fields of the report that differ from an idle upstream's.
    """
    values = {
        'upstream_id': upstream_id,
        'sidecar_incarnation': 'inc-1',
        'engine_incarnation': '1',
        'sequence': 1,
        'healthy': True,
        'draining': False,
        'running': 0,
        'slots': 4,
        'max_running': 4,
        'resident_by_ref': {one: types.ResidentAdapter(one, 0) for one in held},
        'loading': None,
        'setup_version': 1,
        'crash_fingerprints': (),
    }
    return types.UpstreamStatus(**{**values, **more})
