"""Runs a case: its processes, its stand-ins and its record."""

import os
import pathlib
import signal
import tempfile
import typing
from collections.abc import Callable

from review import second_deployment as deployment
from review import second_record as record
from review import second_replica as replica

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Stage:
    """What a case needs; everything ends with the case.

    Args:
        folder: Temporary folder for settings and logs.
        recorded: Record of the case.

    Attributes:
        is_troubled: Whether the disruption takes place.
        record: Record of the case.
        system: The processes.
        replicas: The replicas that were added.
    """

    def __init__(self, folder: pathlib.Path, recorded: record.Record) -> None:
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'
        self.record = recorded
        self.system = deployment.Deployment(folder, recorded)
        self.replicas: list[replica.Replica] = []

    def add_replica(
        self,
        replica_id: str,
        service: str,
        answer: replica.Answer,
        port: int = 0,
    ) -> replica.Replica:
        """Start a replica and write its entry.

        Args:
            replica_id: Its id.
            service: Its service.
            answer: Returns the bytes of the answer to a request.
            port: Its port; 0 for a free one.
        """
        added = replica.Replica(replica_id, self.record, answer, port=port)
        self.replicas.append(added)
        self.system.write('servers', replica_id, added.entry(service))
        return added

    def runs(self) -> list[replica.Run]:
        """Return the runs of all replicas."""
        return [run for one in self.replicas for run in one.runs]

    def close(self) -> None:
        """End all processes and replicas."""
        self.system.stop()
        for one in self.replicas:
            one.close()


class OutOfTimeError(Exception):
    """The run was ended from outside."""


def perform(folder: pathlib.Path, play: Callable[[Stage], int]) -> int:
    """Run a case and return its exit code.

    Args:
        folder: Folder of the case, which gets the record.
        play: Runs the case and returns its exit code.
    """
    signal.signal(signal.SIGTERM, _end)
    recorded = record.Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        stage = Stage(pathlib.Path(temporary), recorded)
        try:
            return play(stage)
        except Exception as error:
            # Whatever else fails says nothing about the rule.
            recorded.write('case', f'could not run: {error!r}')
            return EXIT_NOT_RUN
        finally:
            stage.close()


def _end(number: int, frame: typing.Any) -> typing.NoReturn:
    """End the run, so that its processes are ended too."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise OutOfTimeError(number)
