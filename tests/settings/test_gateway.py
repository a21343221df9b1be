"""Tests of the gateway settings and of the template they are rendered from."""

import pathlib
import re
import tomllib

import pytest

from ivystep.cli import check
from ivystep.core import errors
from ivystep.settings import gateway, ini

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = (ROOT / 'deploy' / 'gateway.ini').read_text()
PLACEHOLDER = re.compile(r'\{\{([a-z_.]+)\}\}')
# Placeholders that the platform fills in for a host, as its deployment
# documentation lists them.
PLATFORM_VALUES = {
    'node_name': 'front-accra-a-1',
    'zone': 'accra-a',
    'ip': '10.1.0.38',
    'port_range': '7380,7395',
    'listen.front': '10.1.0.38:8149',
    'listen.ready_addr': '10.1.0.38:8141',
    'platform.address': '10.200.1.7:8142',
    'limits.cores': '3',
    'limits.cpu_share': '0.717',
    'limits.memory_mb': '300',
    'limits.max_fds': '1024',
    'bounds.lease_ms': '3000',
    'bounds.thaw_ms': '300',
    'bounds.version_ms': '5000',
    'bounds.config_ms': '2000',
    'bounds.revoke_ms': '5000',
    'bounds.revoke_strict': 'false',
    'bounds.drain_ms': '2000',
    'heartbeat_ms': '1200',
    'bounds.grace_s': '8',
    'bounds.budget_ratio': '0.2',
    'bounds.budget_extra': '54',
    'bounds.budget_window_s': '10',
    'bounds.quota_window_s': '8',
    'bounds.quota_excess': '0.1',
    'bounds.quota_slack': '11000',
}


def render(**changes):
    platform_values = {**PLATFORM_VALUES, **changes}
    return PLACEHOLDER.sub(lambda found: platform_values[found[1]], TEMPLATE)


def load(folder, text):
    path = folder / 'gateway.ini'
    path.write_text(text)
    return ini.load(str(path), gateway.GatewaySettings)


def test_rendered_template_is_valid(tmp_path):
    """Guards against a template that renders settings which do not validate."""
    settings = load(tmp_path, render())
    assert settings.capacity.max_fds == 1024
    assert settings.addresses.callers == ('10.1.0.38', 8149)
    assert settings.addresses.peers == ('10.1.0.38', 7380)
    assert settings.store.url == 'http://10.200.1.7:8142'
    assert settings.bounds.handover_delay_s == pytest.approx(3.3)


@pytest.mark.parametrize(
    ('cores', 'cpu_share', 'delay_s'),
    [('3', '0.717', 0.046), ('1', '0.387', 0.258), ('', '', 0.1)],
)
def test_weak_host_leaves_the_election_to_stronger_ones(
    tmp_path, cores, cpu_share, delay_s
):
    """Guards against a leader whose host cannot bear its work."""
    rendered = render(**{'limits.cores': cores, 'limits.cpu_share': cpu_share})
    settings = load(tmp_path, rendered)
    assert settings.capacity.acquire_delay_s == pytest.approx(
        delay_s, abs=0.001
    )


def test_age_of_the_leaders_progress_follows_the_shortest_bound(tmp_path):
    """Guards against hosts that rely on the leader beyond a bound."""
    settings = load(
        tmp_path,
        render(**{'bounds.config_ms': '4000', 'bounds.drain_ms': '3000'}),
    )
    assert settings.bounds.leader_age_s == pytest.approx(1.8)


@pytest.mark.parametrize(
    ('is_strict', 'leader_age_s', 'config_age_s'),
    [('true', 0.6, 0.9), ('false', 1.2, 2.7)],
)
def test_strict_revocation_bounds_the_age_of_the_configuration(
    tmp_path, is_strict, leader_age_s, config_age_s
):
    """Guards against streams that run on because a host learns too late."""
    bounds = load(
        tmp_path,
        render(
            **{
                'bounds.config_ms': '3000',
                'bounds.revoke_ms': '1000',
                'bounds.revoke_strict': is_strict,
            }
        ),
    ).bounds
    assert bounds.leader_age_s == pytest.approx(leader_age_s)
    assert bounds.config_age_s == pytest.approx(config_age_s)


@pytest.mark.parametrize(
    'name',
    sorted(name for name in PLATFORM_VALUES if name.startswith('bounds.')),
)
def test_bound_without_a_value_takes_its_default(tmp_path, name):
    """Guards against a failed start on a platform that sets fewer bounds."""
    load(tmp_path, render(**{name: ''}))


@pytest.mark.parametrize(
    ('name', 'key'),
    [
        ('listen.front', 'callers'),
        ('platform.address', 'address'),
        ('ip', 'host'),
    ],
)
def test_missing_address_is_named(tmp_path, name, key):
    """Guards against an error message without the name of the missing key."""
    with pytest.raises(errors.SettingsError, match=key):
        load(tmp_path, render(**{name: ''}))


def test_rule_for_data_centres_is_checked(tmp_path):
    """Guards against a misspelt rule that would be taken for the default."""
    assert load(tmp_path, render()).data_centres.leaving == 'adaptive'
    section = '\n[data_centres]\nleaving = never\ncrossing_ms = 30\n'
    settings = load(tmp_path, render() + section)
    assert settings.data_centres.leaving == 'never'
    assert settings.data_centres.crossing_ms == 30
    with pytest.raises(errors.SettingsError):
        load(tmp_path, render() + section.replace('never', 'sometimes'))


@pytest.mark.parametrize('address', ['10.1.0.38', 'host:1', '10.1.0.38:99999'])
def test_malformed_address_is_refused(tmp_path, address):
    """Guards against a gateway that listens on an unintended address."""
    with pytest.raises(errors.SettingsError, match='callers'):
        load(tmp_path, render(**{'listen.front': address}))


def test_deploy_file_runs_the_gateway_with_the_template():
    """Guards against a deploy file with a wrong path, command or port."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    role = deploy['roles']['gateway']
    assert (ROOT / role['template']).is_file()
    assert role['run'].split()[:4] == ['python3', '-m', 'ivystep', 'gateway']
    port = gateway.Addresses.model_fields['metrics_port'].default
    assert role['metrics'] == f'{port}/metrics'


def test_check_recognises_the_file(tmp_path):
    """Guards against `ivystep check` taking the file for another kind."""
    path = tmp_path / 'local.ini'
    path.write_text(render())
    assert check.check(str(path), 'auto') == 'gateway'


def test_limit_of_descriptors_without_a_value_is_that_of_the_process(tmp_path):
    """Guards against a platform without the value that ends the start."""
    settings = load(tmp_path, render(**{'limits.max_fds': ''}))
    assert settings.capacity.max_fds == 0


@pytest.mark.parametrize('bound', gateway.PeerBounds.model_fields)
@pytest.mark.parametrize('value', ['0', '-1', 'many'])
def test_bound_of_peers_that_admits_nothing_is_refused(tmp_path, bound, value):
    """Guards against a gateway that takes no answer at all."""
    text = f'{render()}\n[peer_bounds]\n{bound} = {value}\n'
    with pytest.raises(errors.SettingsError, match=bound):
        load(tmp_path, text)
