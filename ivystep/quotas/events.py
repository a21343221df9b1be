"""The events on quotas that a host writes to its log."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTermBegan(event_log.Event):
    """This host grants credit as the leader.

    Attributes:
        term: Fencing token of its lease.
        is_first: Whether no host was the leader before. If not, credit grows
            only by the shares of hosts that have connected, for one window.
    """

    name: typing.ClassVar[str] = 'quota_term_began'

    term: int
    is_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaContactGained(event_log.Event):
    """This host has credit from the leader again.

    Attributes:
        term: Fencing token of the leader's lease.
        hosts: Number of hosts that report to the leader.
        lost_ms: Time since contact was lost; -1 if there was none before.
    """

    name: typing.ClassVar[str] = 'quota_contact_gained'

    term: int
    hosts: int
    lost_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaContactLost(event_log.Event):
    """The leader does not answer, and this host's credit is void.

    Attributes:
        leader: Address of the leader; empty if none is known.
        share: Share of each limit that this host may use meanwhile.
        term: Fencing token of the last leader.
    """

    name: typing.ClassVar[str] = 'quota_contact_lost'
    level: typing.ClassVar[int] = logging.WARNING

    leader: str
    reason: str
    share: float
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimitsChanged(event_log.Event):
    """Limits of accounts have changed with the configuration.

    Attributes:
        limited: Number of accounts that have a limit now.
        changed: Number of accounts with credit here whose limit is another.
    """

    name: typing.ClassVar[str] = 'quota_limits_changed'

    config_version: int
    limited: int
    changed: int
