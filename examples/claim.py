"""Runs a non-idempotent action at most once for each key.

Run it with ``python -m examples.claim``.
"""

from examples import local_table
from ivystep.coordination import claims
from ivystep.core import ids, types

ACCOUNT = 'soil-authority'


def issue_dosage(
    claim_log: claims.ClaimLog, key: str, plot: str
) -> claims.Claim:
    """Issue a dosage, unless the key has been used.

    Args:
        claim_log: The claims of this process.
        key: The caller's idempotency key; a repeat has the same one.
        plot: The plot that the dosage is for.

    Returns:
        The claim as found or acquired.
    """
    request_id = ids.new_id('req')
    fingerprint = ids.digest(plot.encode())
    claim = claim_log.acquire(ACCOUNT, key, request_id, fingerprint)
    if claim.granted:
        print(f'The dosage for {plot} is issued.')
        claim_log.settle(
            ACCOUNT, key, request_id, types.ExecutionStatus.YES, 200
        )
    return claim


def main() -> None:
    """Issue a dosage without getting an answer, and repeat the call."""
    local = local_table.LocalTable()
    claim_log = claims.ClaimLog(local.rows, 'example-1')
    with local.losing_answers():
        issue_dosage(claim_log, 'order-17', 'plot 4')
    repeat = issue_dosage(claim_log, 'order-17', 'plot 4')
    print(f'The repeat is told: ran {repeat.ran.value}, {repeat.status}.')
    other = issue_dosage(claim_log, 'order-17', 'plot 5')
    print(f'The key matches another plot: {other.matches}.')


if __name__ == '__main__':
    local_table.patch()
    main()
