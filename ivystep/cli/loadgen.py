"""The ``loadgen`` subcommand: sends a bounded load to an entry."""

import dataclasses
import pathlib
import sys
import typing

import cappa

from ivystep.cli import load_generator
from ivystep.core import errors
from ivystep.runtime import clock

METRICS_TIMEOUT_S = 5.0


@cappa.command(help='Send a bounded load to an entry and print a report.')
@dataclasses.dataclass
class Loadgen:
    """Sends completions; reports outcomes, latencies, stalls and batches."""

    models: typing.Annotated[
        list[str], cappa.Arg(help='Adapters to call in rotation.')
    ]
    key_file: typing.Annotated[
        str, cappa.Arg(long=True, help='File with the bearer key.')
    ]
    url: typing.Annotated[
        str, cappa.Arg(long=True, help='Base URL of the entry.')
    ] = 'http://127.0.0.1:8080'
    operators_url: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Base URL of the entry's operators' address, for stalls "
            'and batch efficiency.',
        ),
    ] = ''
    requests: typing.Annotated[
        int, cappa.Arg(long=True, help='Number of requests.')
    ] = 100
    concurrency: typing.Annotated[
        int, cappa.Arg(long=True, help='Number of requests in flight.')
    ] = 8
    max_tokens: typing.Annotated[
        int, cappa.Arg(long=True, help='Limit of generated tokens.')
    ] = 16
    timeout_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Time-out of one request.')
    ] = 30.0

    def __call__(self) -> None:
        """Send the requests and print the report."""
        workload = self.workload()
        before = self._metric_totals()
        started_at = clock.now()
        samples = load_generator.run(workload)
        duration_s = clock.now() - started_at
        sys.stdout.write(
            load_generator.format_report(
                samples, duration_s, before, self._metric_totals()
            )
        )

    def workload(self) -> load_generator.Workload:
        """Return the workload that the arguments describe.

        Raises:
            errors.SettingsError: A number is out of bounds, or the key file
                cannot be read.
        """
        for name, number, largest in (
            ('requests', self.requests, load_generator.MAX_REQUESTS),
            ('concurrency', self.concurrency, load_generator.MAX_CONCURRENCY),
        ):
            if not 1 <= number <= largest:
                raise errors.SettingsError(
                    f'--{name} must be from 1 to {largest}'
                )
        try:
            key = pathlib.Path(self.key_file).read_text(encoding='utf-8')
        except (OSError, ValueError) as error:
            raise errors.SettingsError(
                f'{self.key_file}: cannot be read'
            ) from error
        return load_generator.Workload(
            url=self.url.rstrip('/'),
            key=key.strip(),
            models=tuple(self.models),
            requests=self.requests,
            concurrency=self.concurrency,
            max_tokens=self.max_tokens,
            timeout_s=self.timeout_s,
        )

    def _metric_totals(self) -> dict[str, float]:
        if not self.operators_url:
            return {}
        return load_generator.read_metric_totals(
            self.operators_url.rstrip('/'), METRICS_TIMEOUT_S
        )
