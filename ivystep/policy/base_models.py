"""Which base model an engine that has room is to load."""

from collections.abc import Mapping, Sequence

from ivystep.traffic import contracts, upstreams

# Loads of base models are counted over this time, in seconds; it is longer
# than the platform's own window, so that no window of that has more.
LOAD_WINDOW_S = 6.0


def choose_model(
    held: Mapping[str, upstreams.HeldModel],
    engine: contracts.EngineClass,
    held_by_all: Sequence[Mapping[str, upstreams.HeldModel]],
) -> contracts.Model | None:
    """Choose a model for an engine that holds none.

    Answers the load after engines have started empty: the model that the
    fewest engines hold comes first.

    Args:
        held: Models that the engine holds.
        engine: What the engine can hold.
        held_by_all: Models that each engine of the service holds.

    Returns:
        The model, or None if the engine holds one or none fits.
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
