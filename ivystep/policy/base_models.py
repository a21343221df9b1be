"""Chooses the base model that an empty engine loads."""

from collections.abc import Mapping, Sequence

from ivystep.traffic import contracts, upstreams

# Time over which loads of base models are counted, in seconds. It is longer
# than the platform's own window, so that no window of the platform contains
# more loads than are allowed here.
LOAD_WINDOW_S = 6.0


def choose_model(
    held: Mapping[str, upstreams.HeldModel],
    engine: contracts.EngineClass,
    held_by_all: Sequence[Mapping[str, upstreams.HeldModel]],
) -> contracts.Model | None:
    """Choose a base model for an engine that holds none.

    The model that the fewest engines hold comes first, so that engines which
    started empty cover all models soon.

    Args:
        held: Models that the engine holds.
        engine: The models that its class can hold, and its memory.
        held_by_all: Models that each engine of the service holds.

    Returns:
        The model, or None if the engine holds one already or none fits.
    """
    if held:
        return None
    fitting = [
        model
        for model in engine.model_by_name.values()
        if model.weights_mb <= engine.weights_mb
    ]
    return min(
        fitting,
        key=lambda model: sum(model.name in one for one in held_by_all),
        default=None,
    )


def may_load(report: upstreams.EngineReport) -> bool:
    """Return whether an engine may be ordered to load a base model.

    Args:
        report: What the engine says; a load in progress will use its memory.
    """
    return not (report.is_busy or report.held_model_by_name)
