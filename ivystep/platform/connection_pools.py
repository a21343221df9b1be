"""Connections of ``urllib3`` whose reads and writes end with the turn."""

import typing

import urllib3
from urllib3 import connection, poolmanager

from ivystep.runtime import turns


class Connection(connection.HTTPConnection):
    """A connection that leaves the event loop its turns."""

    def _new_conn(self) -> typing.Any:
        opened = super()._new_conn()
        turns.end_with_turn(opened)
        return opened


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one address."""

    def __init__(self, *address: typing.Any, **settings: typing.Any) -> None:
        super().__init__(*address, **settings)
        self.ConnectionCls = Connection


class PoolManager(urllib3.PoolManager):
    """Connections to any address."""

    def __init__(self, **settings: typing.Any) -> None:
        super().__init__(**settings)
        self.pool_classes_by_scheme = {
            **poolmanager.pool_classes_by_scheme,
            'http': ConnectionPool,
        }
