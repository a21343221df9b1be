"""Stand-in of the rate-limited weight store.

Transfers share the store's bandwidth: a single transfer takes
``1 / loads_per_s`` seconds, each of two parallel ones twice as long.
"""

import eventlet

from standins import web

STEP_S = 0.01


class WeightsStandin:
    """A weight store with simulated transfers.

    Attributes:
        active: Transfers in progress.
        loads: Completed transfers.
        failing_sources: Sources whose transfers fail, set by ``/faults``.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.loads_per_s = loads_per_s
        self.active = 0
        self.loads = 0
        self.failing_sources: set[str] = set()

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        source = environ['PATH_INFO'].removeprefix('/weights/')
        if environ['PATH_INFO'] == '/faults':
            self.failing_sources = set(web.read_body(environ).decode().split())
            return 200, {}
        self._transfer()
        if source in self.failing_sources:
            return 503, {'error': 'transfer failed'}
        self.loads += 1
        return 200, {'source': source}

    def _transfer(self) -> None:
        remaining = 1.0
        self.active += 1
        try:
            while remaining > 0:
                eventlet.sleep(STEP_S)
                remaining -= STEP_S * self.loads_per_s / self.active
        finally:
            self.active -= 1
