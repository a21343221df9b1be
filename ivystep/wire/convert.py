"""Conversions between wire messages and core records."""

from ivystep.core import types, units
from ivystep.runtime import clock
from ivystep.wire.gen import ttypes


def adapter_id(ref: types.AdapterRef) -> ttypes.AdapterId:
    """Convert an adapter reference to its message."""
    return ttypes.AdapterId(ref.account, ref.name, ref.version)


def adapter_ref(message: ttypes.AdapterId) -> types.AdapterRef:
    """Convert a message to an adapter reference."""
    return types.AdapterRef(message.account, message.name, message.version)


def optional_adapter_id(
    ref: types.AdapterRef | None,
) -> ttypes.AdapterId | None:
    """Convert an adapter reference that may be absent."""
    return None if ref is None else adapter_id(ref)


def optional_adapter_ref(
    message: ttypes.AdapterId | None,
) -> types.AdapterRef | None:
    """Convert a message that may be absent."""
    return None if message is None else adapter_ref(message)


def run_attempt(attempt: types.Attempt, budget_ms: int) -> ttypes.RunAttempt:
    """Return the message that starts an attempt.

    Args:
        attempt: The attempt.
        budget_ms: Time left until the request's deadline.
    """
    request = attempt.request
    return ttypes.RunAttempt(
        attempt_id=attempt.attempt_id,
        request_id=request.request_id,
        account=request.account,
        application=request.application,
        adapter=optional_adapter_id(request.adapter),
        sidecar_incarnation=attempt.placement.sidecar_incarnation,
        path=request.path,
        body=request.body,
        stream=request.stream,
        idempotent=request.idempotent,
        budget_ms=budget_ms,
        fingerprint=request.fingerprint,
        setup_version=request.setup_version,
        isolated=attempt.placement.is_isolated,
    )


def load_adapter(
    order: types.LoadOrder, setup_version: int
) -> ttypes.LoadAdapter:
    """Return the message of a load order."""
    return ttypes.LoadAdapter(
        adapter=adapter_id(order.ref),
        source=order.source,
        evict=[adapter_id(ref) for ref in order.evict],
        planner=order.planner,
        setup_version=setup_version,
        sidecar_incarnation=order.sidecar_incarnation or None,
    )


def load_order(message: ttypes.LoadAdapter) -> types.LoadOrder:
    """Convert a message to a load order."""
    return types.LoadOrder(
        ref=adapter_ref(message.adapter),
        source=message.source,
        evict=tuple(adapter_ref(item) for item in message.evict),
        planner=message.planner,
        sidecar_incarnation=message.sidecar_incarnation or '',
    )


def status_message(status: types.UpstreamStatus) -> ttypes.UpstreamStatus:
    """Convert an upstream's status to its message."""
    return ttypes.UpstreamStatus(
        upstream=status.upstream_id,
        sidecar_incarnation=status.sidecar_incarnation,
        engine_incarnation=status.engine_incarnation,
        sequence=status.sequence,
        healthy=status.healthy,
        draining=status.draining,
        running=status.running,
        slots=status.slots,
        max_running=status.max_running,
        resident=[
            ttypes.Resident(adapter_id(resident.ref), resident.running)
            for resident in status.resident_by_ref.values()
        ],
        loading=optional_adapter_id(status.loading),
        setup_version=status.setup_version,
        crash_fingerprints=[
            _crash_message(crash) for crash in status.crash_fingerprints
        ],
    )


def upstream_status(message: ttypes.UpstreamStatus) -> types.UpstreamStatus:
    """Convert a message to an upstream's status."""
    residents = [
        types.ResidentAdapter(adapter_ref(item.adapter), item.running)
        for item in message.resident
    ]
    return types.UpstreamStatus(
        upstream_id=message.upstream,
        sidecar_incarnation=message.sidecar_incarnation,
        engine_incarnation=message.engine_incarnation,
        sequence=message.sequence,
        healthy=message.healthy,
        draining=message.draining,
        running=message.running,
        slots=message.slots,
        max_running=message.max_running,
        resident_by_ref={resident.ref: resident for resident in residents},
        loading=optional_adapter_ref(message.loading),
        setup_version=message.setup_version,
        crash_fingerprints=tuple(
            _crash_fingerprint(crash) for crash in message.crash_fingerprints
        ),
    )


def _crash_message(
    crash: types.CrashFingerprint,
) -> ttypes.CrashFingerprint:
    # Monotonic clocks differ between processes, so the age is sent.
    age_s = clock.now() - crash.recorded
    return ttypes.CrashFingerprint(
        crash.fingerprint,
        crash.engine_incarnation,
        int(age_s * units.MS_PER_S),
    )


def _crash_fingerprint(
    message: ttypes.CrashFingerprint,
) -> types.CrashFingerprint:
    return types.CrashFingerprint(
        message.fingerprint,
        message.engine_incarnation,
        clock.now() - message.age_ms / units.MS_PER_S,
    )
