"""Keeps retries from multiplying the load of an outage.

Run it with ``python -m examples.limit_retries``.
"""

from ivystep.coordination import retry_budget

REQUESTS = 100


def main() -> None:
    """Send requests during an outage in which all of them fail."""
    budgets = retry_budget.RetryBudgets(ratio=0.1, reserve=5)
    sent = 0
    for _ in range(REQUESTS):
        budget = budgets.budget('warehouse')
        budget.on_request()
        sent += 1
        if budget.try_spend():
            sent += 1
    print(f'{REQUESTS} failing requests were sent {sent} times.')


if __name__ == '__main__':
    main()
