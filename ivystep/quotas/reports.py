"""Defines what hosts and the leader tell each other about quotas.

All numbers are totals since the start of an incarnation of the host, so a
message that is lost, repeated or late changes nothing that the next one does
not state again. Amounts are in the account's unit: tokens or requests.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What an account may use across all hosts.

    Attributes:
        rate_per_s: Amount per second.
        burst: Amount that may be used at once after a quiet time.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class AccountReport:
    """What a host tells the leader about one account.

    Attributes:
        spent: Total credit that was spent.
        returned: Total credit that the host will not spend.
        refunded: Total that was spent and reported, but by requests that have
            not run.
        fallback: Total spent without a leader before this incarnation.
        waiting: Costs of the requests that wait for this exchange.
        ahead: Amount expected to be needed until the next exchanges.
        unit: Smallest cost of a recent request. Less credit is of no use.
        is_closing: Whether the host forgets the account once it is answered.
    """

    account: str
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    fallback: int = 0
    waiting: tuple[int, ...] = ()
    ahead: int = 0
    unit: int = 0
    is_closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """A report of a host to the leader.

    Attributes:
        incarnation: Increases whenever the host voids all its credit.
        sequence: Increases with each report.
        answered: The last report of this incarnation to which the host has the
            answer; 0 if it has none. While 0, all totals are zero.
        term: Fencing token of the leader that answered last.
        share: Share of the limits that the host may use without a leader.
        hosts: Number of hosts that a leader has told last; 0 if none has.
    """

    host: str
    incarnation: int
    sequence: int
    answered: int
    term: int
    share: float
    hosts: int
    accounts: tuple[AccountReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountGrant:
    """What the leader tells a host about one account.

    Attributes:
        granted: Total credit granted.
        level: What the bucket still holds.
        rate_per_s: Rate at which the bucket refills; 0 if it does not now.
        is_limited: Whether the leader knows a limit of the account.
    """

    account: str
    granted: int
    level: int
    rate_per_s: float
    is_limited: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HostGrants:
    """The leader's answer to a report.

    Attributes:
        term: The leader's fencing token; 0 if the process is not the leader.
        incarnation: Smallest incarnation of the host that the leader accepts.
        sequence: The report that is answered.
        share: Share of the limits that the host may use without a leader.
        hosts: Number of hosts.
    """

    term: int
    incarnation: int
    sequence: int
    share: float = 0.0
    hosts: int = 0
    accounts: tuple[AccountGrant, ...] = ()


# Answer of a process that is not the leader.
NOT_LEADER_TERM = 0
