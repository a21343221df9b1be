"""Random restarts, outages and upgrades, with an oracle of each stream."""

import random

import eventlet
import pytest

from ivystep.core import errors
from ivystep.runtime import clock
from ivystep.stream_origins import recorder, service_versions
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.stream_origins import fakes as stores
from tests.stream_origins import test_origins, test_recorder

STEPS = 120
HOSTS = 3
VERSIONS = ('v1', 'v2', 'v3')


class Host:
    """A host that follows the upstreams that are listed."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.log = fakes.FakeLog()
        self.feed = test_recorder.Feed(fleet.store, not fleet.store.is_away)
        self.origins = test_origins.start(fleet.store, self.log)
        self.known = {}
        self.task = eventlet.spawn(
            self.origins.maintain,
            self.feed,
            lambda: fleet.hosts[:1] == [self],
        )
        self.follow()

    def follow(self):
        self.feed.is_followed = not self.fleet.store.is_away
        if self.fleet.store.is_away:
            return
        for version in self.known.keys() - self.fleet.listed.keys():
            self.origins.on_removed(self.known.pop(version))
        for version, upstream in self.fleet.listed.items():
            if self.known.setdefault(version, upstream) is not upstream:
                self.origins.on_removed(self.known[version])
                self.known[version] = upstream
            self.origins.on_upstream(upstream)

    def usable(self):
        return [
            upstream
            for upstream in self.known.values()
            if self.origins.may_use(upstream)
        ]

    def kill(self):
        self.task.kill()
        self.origins._writer._pending.clear()
        self.origins._versions._services = frozenset()


class Fleet:
    """Hosts, a store and callers; the schedule is drawn from a seed.

    Attributes:
        began: Version and time of each stream whose caller has an event.
        answers: Number of resumed streams by outcome.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        # The waits before retries are drawn from the module's generator.
        random.seed(seed)
        self.store = stores.FakeStore()
        self.listed = {}
        self.hosts = []
        self.began = {}
        self.answers = {'on': 0, 'refused': 0}
        self.copied = {}
        self.requests = 0
        self.list_version('v1')
        self.hosts = [Host(self) for _ in range(HOSTS)]

    def list_version(self, version):
        self.requests += 1
        self.listed[version] = test_origins.upstream(
            f'i-{self.requests}', version
        )

    def run(self):
        actions = (
            [self.begin] * 8
            + [self.resume] * 8
            + [self.change_versions] * 2
            + [self.kill, self.kill_all, self.outage, self.slow, self.restore]
        )
        for _ in range(STEPS):
            self.random.choice(actions)()
            clock.sleep(self.random.choice((0.0, 0.02, 0.3, 2.0, 9.0)))
            for host in self.hosts:
                host.follow()

    def begin(self):
        """Begin a stream, sometimes after an attempt that brought no event."""
        host = self.random.choice(self.hosts)
        self.requests += 1
        name = f'r-{self.requests}'
        state = test_origins.state(name)
        for _ in range(self.random.choice((1, 1, 2))):
            usable = host.usable()
            if not usable:
                return
            upstream = self.random.choice(usable)
            try:
                host.origins.record(state, upstream)
            except errors.RefusedError:
                return
        host.origins.hold(state, upstream)
        self.began[name] = (upstream.entry.software_version, clock.now())

    def resume(self):
        """Take a stream up at any host; its version must be its own."""
        horizon = clock.now() - service_versions.RETENTION_S
        names = [name for name, (_, at) in self.began.items() if at > horizon]
        if not names:
            return
        name = self.random.choice(names)
        host = self.random.choice(self.hosts)
        self.requests += 1
        state = test_origins.state(f'r-{self.requests}', resumed=name)
        try:
            host.origins.resolve(state)
        except errors.RefusedError:
            self.answers['refused'] += 1
            return
        self.answers['on'] += 1
        assert state.required_version == self.began[name][0]
        for upstream in host.usable():
            if upstream.entry.software_version == state.required_version:
                host.origins.record(state, upstream)
                return

    def change_versions(self):
        if len(self.listed) > 1 and self.random.random() < 0.6:
            self.listed.pop(self.random.choice(sorted(self.listed)))
        else:
            self.list_version(self.random.choice(VERSIONS))

    def kill(self):
        killed = self.hosts.pop(self.random.randrange(HOSTS))
        killed.kill()
        self.hosts.append(Host(self))

    def kill_all(self):
        for host in self.hosts:
            host.kill()
        if self.random.random() < 0.7:
            self.listed.clear()
            self.list_version(self.random.choice(VERSIONS))
        self.hosts = []
        self.hosts = [Host(self) for _ in range(HOSTS)]

    def outage(self):
        self.store.is_away = not self.store.is_away

    def slow(self):
        self.store.delay_s = self.random.choice((0.0, 0.0, 0.1, 0.4))
        self.store.write_delay_s = self.random.choice((0.0, 0.005, 0.2, 1.0))
        self.store.loses_answers = self.random.random() < 0.2

    def restore(self):
        if self.random.random() < 0.5:
            self.copied = dict(self.store.row_by_key)
        else:
            self.store.restore(self.copied)


def _forget_gone(gone_s_by_version, present, now_s):
    """Remove versions without upstreams at once."""
    return {
        version: gone_s
        for version, gone_s in gone_s_by_version.items()
        if version in present
    }


@pytest.mark.parametrize('seed', range(20))
def test_no_stream_goes_on_at_another_version(seed):
    """Guards against a guess under any order of restarts and outages."""

    @clocks.on_virtual_clock
    def scenario():
        Fleet(seed).run()

    scenario()


@pytest.mark.parametrize(
    ('seed', 'owner', 'name', 'broken'),
    [
        (42, service_versions.StoreView, 'is_complete', property(bool)),
        (2, service_versions, '_without_expired', _forget_gone),
        (90, recorder.VersionRecorder, 'may_use', lambda *_: True),
    ],
)
def test_oracle_sees_each_missing_mechanism(
    monkeypatch, seed, owner, name, broken
):
    """Guards against an oracle that cannot fail."""
    monkeypatch.setattr(owner, name, broken)

    @clocks.on_virtual_clock
    def scenario():
        with pytest.raises(AssertionError):
            Fleet(seed).run()

    scenario()
