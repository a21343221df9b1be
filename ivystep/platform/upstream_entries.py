"""Decodes upstreams' entries in the table ``servers``, and engines' reports.

Other programs may write malformed or unknown entries to the table. Such an
entry raises an error and does not affect the others.
"""

from types import MappingProxyType

import pydantic

from ivystep.core import errors, types, units
from ivystep.platform import decoding, rows
from ivystep.traffic import upstreams

TABLE = 'servers'
STATE_BY_NAME = MappingProxyType(
    {
        'ready': upstreams.UpstreamState.READY,
        'draining': upstreams.UpstreamState.DRAINING,
    }
)


class _Held(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    name: decoding.Text
    version: decoding.Number = 1
    # In the form NAME@VERSION.
    adapters: list[decoding.Text] = []


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    service: decoding.Text
    address: str
    zone: decoding.Text = ''
    # Version of its software, not of the weights that it holds.
    version: decoding.Text = ''
    slots: decoding.Count
    state: str
    born: decoding.Number = 0
    models: list[_Held] = []
    remaining_ms: decoding.Milliseconds | None = None


class _Report(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', strict=True)

    # No default, because an engine that seems to be empty would be overfilled.
    models: list[_Held]
    busy: bool
    # Number of accepted orders; in an entry, this field counts heartbeats.
    sequence: decoding.Number
    # In the form MODEL/NAME@VERSION.
    coming: list[decoding.Text] = []
    queued: decoding.Count = 0
    active: decoding.Count = 0
    kv_used: decoding.Number = 0
    born: decoding.Number = 0


def decode_entry(row: rows.StoredRow) -> upstreams.UpstreamEntry:
    """Decode an upstream's entry.

    Raises:
        errors.SetupError: The entry is malformed.
    """
    try:
        entry = _Entry.model_validate(decoding.load(row.content))
        return upstreams.UpstreamEntry(
            upstream_id=decoding.header_id(row.key),
            service=entry.service,
            address=decoding.address(entry.address),
            data_centre=entry.zone,
            started_at_ms=entry.born,
            state=STATE_BY_NAME[entry.state],
            batch_size=entry.slots,
            held_model_by_name=_held(entry.models),
            leaves_in_s=(
                None
                if entry.remaining_ms is None
                else entry.remaining_ms / units.MS_PER_S
            ),
            version=row.version,
            software_version=entry.version,
        )
    except decoding.DECODE_ERRORS as error:
        raise errors.SetupError(
            f'entry {row.key!r} is malformed: {error}',
            step='decode entry',
        ) from error


def decode_report(body: bytes) -> upstreams.EngineReport:
    """Decode an engine's report.

    Raises:
        errors.LinkError: The body is not a report.
    """
    try:
        report = _Report.model_validate(decoding.load(body))
        return upstreams.EngineReport(
            started_at_ms=report.born,
            held_model_by_name=_held(report.models),
            is_busy=report.busy,
            order_count=report.sequence,
            loading=tuple(_adapter_ref(name) for name in report.coming),
            queued=report.queued,
            running=report.active,
            kv_used=report.kv_used,
        )
    except decoding.DECODE_ERRORS as error:
        raise errors.LinkError(
            f'malformed report: {error}', step='report'
        ) from error


def _held(models: list[_Held]) -> dict[str, upstreams.HeldModel]:
    return {
        model.name: upstreams.HeldModel(
            model.name, model.version, _adapter_versions(model.adapters)
        )
        for model in models
    }


def _adapter_versions(names: list[str]) -> dict[str, int]:
    """Return the version of each adapter, by adapter name."""
    version_by_name = {}
    for text in names:
        name, _, version = text.rpartition('@')
        version_by_name[name or version] = _version(version) if name else 1
    return version_by_name


def _adapter_ref(name: str) -> types.AdapterRef:
    ref = types.AdapterRef.from_lora_name(name)
    decoding.whole(ref.version)
    return ref


def _version(digits: str) -> int:
    return decoding.whole(int(digits))
