"""Injects faults into real processes and checks what callers are told.

An answer must be correct, and an error must state truthfully whether the
request was run. All tests share one deployment and leave it healthy.
"""

import functools
import signal

import eventlet
import pytest
import urllib3

from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.setup import document, store, submission
from soak import callers, deployment, oracle, relay

SEED = 7
COMPLETE = {callers.CallResult.COMPLETE}
# Requests for one adapter start together once it is resident.
RESIDENT = {
    'account': deployment.ACCOUNTS[0],
    'application': 'app',
    'adapter': 'letters',
    'version': 1,
}
PAUSE_S = (callers.TIMEOUT_MS + 1000) / 1000


@pytest.fixture(scope='module')
def module_deployment(tmp_path_factory):
    """Start two entries, two upstreams and the platform."""
    one = deployment.Deployment(tmp_path_factory.mktemp('deployment'), SEED)
    try:
        one.start()
        yield one
    finally:
        one.stop()


@pytest.fixture
def deployed(module_deployment):
    """Return the healthy deployment; violations fail the test."""
    module_deployment.heal()
    module_deployment.await_service()
    yield module_deployment
    assert module_deployment.finish() == []


def _send_until_running(deployed, count=12, **fields):
    """Send requests and wait until engines run several of them."""
    tasks = deployed.send_many(count, **fields)
    deployment.wait_until(lambda: deployed.running() >= count // 4)
    return tasks


def _await_resident(deployed):
    """Wait until the adapter of ``RESIDENT`` is loaded."""
    deployment.wait_until(
        lambda: set(_results(deployed.send_many(2, **RESIDENT))) == COMPLETE
    )


def _results(tasks):
    return [task.wait().result for task in tasks]


def test_engine_killed_in_the_middle(deployed):
    """Guards against truncated answers and attempts that run twice."""
    tasks = _send_until_running(deployed, application='once')
    deployed.kill('up-1-engine')
    assert len(_results(tasks)) == len(tasks)


def test_sidecar_killed_twice_in_a_row(deployed):
    """Guards against a sidecar that answers for its earlier incarnation."""
    tasks = _send_until_running(deployed)
    deployed.kill('up-1')
    deployed.kill('up-1')
    assert len(_results(tasks)) == len(tasks)


def test_entry_killed_and_keys_repeated_elsewhere(deployed):
    """Guards against a second run of a key whose entry was killed."""
    requests = [deployed.make_request(application='once') for _ in range(10)]
    first = [deployed.send(request, 'entry-1') for request in requests]
    deployment.wait_until(lambda: deployed.running() >= 3)
    deployed.signal('entry-1', signal.SIGKILL)
    again = [deployed.send(request, 'entry-2') for request in requests]
    _results(first + again)
    deployed.system.restart('entry-1')
    deployed.system.await_ready('entry-1')


def test_engine_and_table_fail_together(deployed):
    """Guards against runs without a claim during two simultaneous faults."""
    deployed.table_mode('lose_answers')
    tasks = deployed.send_many(8, application='once')
    deployed.kill('up-2-engine')
    _results(tasks)
    deployed.heal()
    _await_resident(deployed)
    deployed.table_mode('down')
    refused = deployed.send_many(4, application='once')
    served = deployed.send_many(4, **RESIDENT)
    # An earlier call with the same key may have run, so "no" would be untrue.
    assert set(_results(refused)) == {callers.CallResult.UNKNOWN}
    prompts = {task.wait().request.prompt for task in refused}
    journals = deployed.folder.glob('*.journal')
    assert not prompts & set(oracle.read_journals(journals))
    assert set(_results(served)) == COMPLETE
    deployed.heal()


def test_sidecar_stopped_past_deadline(deployed):
    """Guards against a resumed sidecar that starts expired attempts."""
    deployed.signal('up-1', signal.SIGSTOP)
    tasks = deployed.send_many(12)
    eventlet.sleep(PAUSE_S)
    deployed.signal('up-1', signal.SIGCONT)
    _results(tasks)


def test_entry_stopped_past_deadline(deployed):
    """Guards against a resumed entry that forwards expired requests."""
    tasks = [
        deployed.send(deployed.make_request(), 'entry-2') for _ in range(6)
    ]
    deployed.signal('entry-2', signal.SIGSTOP)
    eventlet.sleep(PAUSE_S)
    deployed.signal('entry-2', signal.SIGCONT)
    _results(tasks)


@pytest.mark.parametrize(
    'mode', [relay.Mode.DROP_ANSWERS, relay.Mode.DROP_REQUESTS]
)
def test_half_open_link(deployed, mode):
    """Guards against "not run" from an entry that got no reply."""
    tasks = _send_until_running(deployed)
    deployed.relay_by_host['up-1'].mode = mode
    more = deployed.send_many(8)
    _results(tasks + more)
    deployed.relay_by_host['up-1'].heal()


def test_link_cut_in_the_middle(deployed):
    """Guards against a lost connection that is reported as "not run"."""
    tasks = _send_until_running(deployed)
    deployed.relay_by_host['up-1'].cut()
    deployed.relay_by_host['up-2'].cut()
    _results(tasks)


def test_loads_fail_and_recover(deployed):
    """Guards against requests that stay unanswered after a failed load."""
    for host in deployment.UPSTREAMS:
        deployed.system.restart(f'{host}-engine')
        deployment.wait_until(functools.partial(_fail_loads, deployed, host))
    tasks = deployed.send_many(8)
    eventlet.sleep(1)
    for host in deployment.UPSTREAMS:
        deployed.engine_faults(host)
    _results(tasks)


def _fail_loads(deployed, host):
    """Make loads fail; return whether the engine accepts connections."""
    try:
        deployed.engine_faults(host, load_status=500)
    except urllib3.exceptions.HTTPError:
        return False
    return True


def test_operators_race_while_answers_are_lost(deployed):
    """Guards against two accepted changes, and a change without effect.

    Four operators submit on the same setup version while the table service
    applies writes and answers with errors.
    """
    nodes = deployed.system.node_by_name
    platform = (
        table.TableClient(nodes['table'].url, 2.0),
        objects.ObjectsClient(nodes['objects'].url, 2.0),
    )
    base = store.SetupStore(*platform).refresh().version
    deployed.table_mode('lose_answers')
    submitter = submission.Submitter(*platform)
    tasks = [
        eventlet.spawn(_submit, submitter, base, f'extra-{number}')
        for number in range(4)
    ]
    accepted = [name for task in tasks for name in task.wait()]
    deployed.heal()
    assert len(accepted) == 1
    make_request = functools.partial(
        deployed.make_request, account='authority', application='app', version=1
    )
    for entry in deployment.ENTRIES:
        wanted = functools.partial(make_request, adapter=accepted[0])
        deployment.wait_until(
            functools.partial(_is_complete, deployed, wanted, entry)
        )
        # One version of the setup holds one change only.
        for number in range(4):
            name = f'extra-{number}'
            result = (
                deployed.send(make_request(adapter=name), entry).wait().result
            )
            assert (result is callers.CallResult.COMPLETE) is (name in accepted)


def _submit(submitter, base, adapter):
    wanted = deployment.setup_document(adapter)
    try:
        submitter.submit(
            document.Document.model_validate(wanted), base, adapter
        )
    except (errors.ConflictError, errors.UnavailableError):
        return []
    return [adapter]


def _is_complete(deployed, make_request, entry):
    return (
        deployed.send(make_request(), entry).wait().result
        is callers.CallResult.COMPLETE
    )


@pytest.mark.parametrize('role', ['sidecar', 'entry'])
def test_sigterm_interrupts_no_stream(deployed, role):
    """Guards against streams cut off by a planned stop."""
    _await_resident(deployed)
    tasks = deployed.send_many(6, **RESIDENT, stream=True)
    deployment.wait_until(lambda: deployed.running() == len(tasks))
    name = 'entry-1'
    if role == 'sidecar':
        name = max(deployment.UPSTREAMS, key=deployed.running_on)
    code = deployed.drain(name)
    assert code == 0
    assert set(_results(tasks)) == COMPLETE
