"""Estimates how long requests run after their placement."""

# Weights of a new sample in the moving averages.
MEAN_WEIGHT = 1 / 16
DEVIATION_WEIGHT = 1 / 8
# The expected time is the mean plus this many mean deviations.
DEVIATION_FACTOR = 2.0
# A request may wait for at least this share of the time to its deadline. After
# some slow requests, the expected service time exceeded short deadlines; with
# no adapter resident, every request was then refused and none corrected the
# estimate.
MIN_WAIT_SHARE = 0.5


class ServiceTime:
    """Moving averages of the time from placement to finish.

    Attributes:
        mean_s: Mean in seconds; 0 until the first request has finished.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._started_by_id: dict[str, float] = {}

    @property
    def expected_s(self) -> float:
        """Time within which most requests finish, in seconds."""
        return self.mean_s + DEVIATION_FACTOR * self._deviation_s

    def latest_start(self, deadline: float, now: float) -> float:
        """Return the latest start that meets a deadline.

        Args:
            deadline: Time of the deadline in seconds.
            now: Current time in seconds.
        """
        remaining_s = deadline - now
        service_s = min(self.expected_s, remaining_s * (1 - MIN_WAIT_SHARE))
        return deadline - service_s

    def start(self, request_id: str, now: float) -> None:
        """Record that a request was placed.

        Args:
            request_id: Id of the request.
            now: Current time in seconds.
        """
        self._started_by_id[request_id] = now

    def finish(self, request_id: str, now: float) -> None:
        """Record that a request has finished; ignore an unknown one.

        Args:
            request_id: Id of the request.
            now: Current time in seconds.
        """
        started = self._started_by_id.pop(request_id, None)
        if started is None:
            return
        error = now - started - self.mean_s
        self.mean_s += MEAN_WEIGHT * error
        self._deviation_s += DEVIATION_WEIGHT * (abs(error) - self._deviation_s)
