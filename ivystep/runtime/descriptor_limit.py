"""Shares out the file descriptors of a process.

Callers open as many connections as they like. Were they to use up the
descriptors, the process could reach neither its store nor its upstreams, and
would not answer whether it is ready. So their number is bounded.
"""

import resource

# Of the descriptors that the platform allows, those for files.
FILES = 200
# Readiness and metrics use up to 32, the store, logs and listeners about 20,
# and other processes connect.
KEPT_BACK = 64
# With more descriptors there are usually more processes that connect.
KEPT_BACK_PART = 8
# A caller's connection and the one to the upstream of its request.
DESCRIPTORS_PER_CALLER = 2
MIN_CONNECTIONS = 16
# Stands for a process without a limit.
UNLIMITED = 1048576


def caller_connections(max_fds: float = 0) -> int:
    """Return the number of callers' connections that may be open at once.

    Args:
        max_fds: Descriptors that the platform allows, including those for
            files; 0 if only the limit of the process counts.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = UNLIMITED
    if max_fds:
        limit = min(limit, int(max_fds) - FILES)
    kept_back = max(KEPT_BACK, limit // KEPT_BACK_PART)
    return max((limit - kept_back) // DESCRIPTORS_PER_CALLER, MIN_CONNECTIONS)
