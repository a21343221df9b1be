"""Random fault schedules in one process on the virtual clock.

The entry's dispatch, pool and claims and the sidecar's server, host and run
code are the product's; connections, engines and the table service are
simulated in memory with injected faults.
"""
