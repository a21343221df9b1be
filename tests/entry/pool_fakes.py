"""Fake upstreams and requests for tests of a pool, on the virtual clock."""

from ivystep.core import errors, types
from ivystep.entry import pool
from ivystep.runtime import clock
from ivystep.setup import document
from tests.core import statuses

LOAD_S = 0.5


def ref(name, account='soil'):
    return types.AdapterRef(account, name, 1)


class FakeLink:
    """An upstream that reports at once and takes 0.5 s for a load."""

    def __init__(
        self, base_pool, upstream_id='up-1', *held, slots=2, batch_size=4
    ):
        self.base_pool = base_pool
        self.upstream_id = upstream_id
        self.slots = slots
        self.batch_size = batch_size
        self.running = dict.fromkeys(held, 0)
        self.sequence = 0
        self.orders = []
        self.failing_refs = set()
        self.load_s = LOAD_S
        self.is_draining = False
        self.incarnation = 'inc-1'
        self.report()

    def report(self):
        self.base_pool.on_status(self.status(), self)

    def status(self):
        self.sequence += 1
        return statuses.upstream_status(
            self.upstream_id,
            sidecar_incarnation=self.incarnation,
            sequence=self.sequence,
            draining=self.is_draining,
            running=sum(self.running.values()),
            slots=self.slots,
            max_running=self.batch_size,
            resident_by_ref={
                held: types.ResidentAdapter(held, count)
                for held, count in self.running.items()
            },
        )

    def heartbeat(self):
        while True:
            clock.sleep(1)
            self.report()

    def load(self, order, setup_version):
        self.orders.append((clock.now(), order))
        # An order without it would be carried out by a restarted sidecar.
        assert order.sidecar_incarnation == self.incarnation
        assert not any(self.running.get(victim) for victim in order.evict)
        for victim in order.evict:
            del self.running[victim]
        self.report()
        clock.sleep(self.load_s)
        if order.ref in self.failing_refs:
            return types.LoadResult(False, 'load_failed', 'No weights.')
        self.running[order.ref] = 0
        self.report()
        return types.LoadResult(True, 'loaded', '')


def run(base_pool, wanted):
    """Place and run a request; return the time spent waiting."""
    started = clock.now()
    try:
        placement = base_pool.place(wanted)
    except errors.RefusedError:
        return clock.now() - started
    wait = clock.now() - started
    try:
        base_pool.link(placement.upstream_id).run(placement)
    except errors.RefusedError:
        pass
    finally:
        base_pool.finish(placement)
    return wait


def make_pool():
    made = pool.Pool('base', 'entry-1')
    made.configure(document.Pool(name='base', loads_per_s=1 / LOAD_S))
    return made


def request(name, *, account='soil', deadline_s=30, adapter=True):
    now = clock.now()
    return types.Request(
        request_id=f'{account}-{name}-{now}',
        account=account,
        application='plans',
        pool='base',
        adapter=ref(name, account) if adapter else None,
        adapter_source='weights',
        path='/v1/completions',
        body=b'{}',
        stream=False,
        idempotent=True,
        arrived=now,
        deadline=now + deadline_s,
        fingerprint=b'',
        setup_version=1,
    )


def outcome(base_pool, wanted):
    """Place a request; return the upstream or the code, and the wait."""
    started = clock.now()
    try:
        result = base_pool.place(wanted).upstream_id
    except errors.RefusedError as error:
        result = error.code
    return result, round(clock.now() - started, 3)
