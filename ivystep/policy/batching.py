"""Costs of loading an adapter on an upstream.

An upstream is cheap if the adapter that it would evict is unpopular. Among
similar ones, ``batching_weight`` decides: 0 considers only whether the batch
is full; 1 packs requests onto few upstreams, so that batches are fuller and
engines without requests take no steps.
"""

import heapq

# Weight of the batch fill, in the unit of the other cost: the evicted adapter's
# share of all requests.
FILL_SCALE = 0.04
# Beyond this share of the batch, requests would soon have to wait.
FULL_SHARE = 0.8
# Cost of each full batch beyond that share, relative to ``FILL_SCALE``.
OVERFULL_COST = 10.0
# With this many waiting loads or more, fuller batches are not preferred.
MAX_PACKING_BACKLOG = 16


def packing(batching_weight: float, backlog: int) -> float:
    """Return the weight by which fuller batches are preferred.

    Packing evicts popular adapters from the fuller upstreams, which causes
    further loads, so its weight falls as loads queue up.

    Args:
        batching_weight: The setup's trade-off, from 0 to 1.
        backlog: Number of waiting loads.
    """
    return batching_weight * max(1 - backlog / MAX_PACKING_BACKLOG, 0)


def cost(victim_share: float, fill: float, packing_weight: float) -> float:
    """Return the cost of loading an adapter on an upstream.

    Args:
        victim_share: Share of all requests that are for the evicted adapter;
            0 if a slot is free.
        fill: Expected requests on the upstream, divided by the size of the
            engine's batch.
        packing_weight: Result of ``packing``.
    """
    packed = packing_weight * min(fill, FULL_SHARE)
    overfull = max(fill - FULL_SHARE, 0) * OVERFULL_COST
    return victim_share + FILL_SCALE * (overfull - packed)


class VictimIndex:
    """Upstreams ordered by the popularity of the adapter they would evict.

    Outdated items stay in the heap until they reach its top or the heap is
    rebuilt.
    """

    def __init__(self) -> None:
        self._score_by_id: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []

    def set(self, upstream_id: str, score: float) -> None:
        """Add an upstream or change its score.

        Args:
            upstream_id: The upstream.
            score: Popularity score of the adapter that it would evict.
        """
        if self._score_by_id.get(upstream_id) == score:
            return
        self._score_by_id[upstream_id] = score
        heapq.heappush(self._heap, (score, upstream_id))
        if len(self._heap) > 64 + 4 * len(self._score_by_id):
            self._heap = [
                (score, key) for key, score in self._score_by_id.items()
            ]
            heapq.heapify(self._heap)

    def discard(self, upstream_id: str) -> None:
        """Remove an upstream; an unknown one is ignored."""
        self._score_by_id.pop(upstream_id, None)

    def smallest(self, count: int) -> list[str]:
        """Return the upstreams with the lowest scores.

        Args:
            count: Maximum number of upstreams.
        """
        found: dict[str, float] = {}
        while self._heap and len(found) < count:
            score, upstream_id = heapq.heappop(self._heap)
            if self._score_by_id.get(upstream_id) == score:
                found[upstream_id] = score
        for upstream_id, score in found.items():
            heapq.heappush(self._heap, (score, upstream_id))
        return list(found)
