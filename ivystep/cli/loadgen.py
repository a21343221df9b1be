"""The subcommand that sends a bounded load to an entry."""

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
    """Send completions and report latencies, stalls, batches, outcomes."""

    models: typing.Annotated[
        list[str], cappa.Arg(help='Adapters to call in turn.')
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
        int, cappa.Arg(long=True, help='Requests at once.')
    ] = 8
    max_tokens: typing.Annotated[
        int, cappa.Arg(long=True, help='Tokens to ask for.')
    ] = 16
    timeout_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Longest wait for one answer.')
    ] = 30.0

    def __call__(self) -> None:
        """Send the load and print the report."""
        load = self.load()
        before = self._totals()
        started = clock.now()
        samples = load_generator.run(load)
        duration_s = clock.now() - started
        sys.stdout.write(
            load_generator.summarise(
                samples, duration_s, before, self._totals()
            )
        )

    def load(self) -> load_generator.Load:
        """Check the arguments.

        Raises:
            errors.SettingsError: A number is out of bounds, or the key cannot
                be read.
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
        return load_generator.Load(
            url=self.url.rstrip('/'),
            key=key.strip(),
            models=tuple(self.models),
            requests=self.requests,
            concurrency=self.concurrency,
            max_tokens=self.max_tokens,
            timeout_s=self.timeout_s,
        )

    def _totals(self) -> dict[str, float]:
        if not self.operators_url:
            return {}
        return load_generator.read_totals(
            self.operators_url.rstrip('/'), METRICS_TIMEOUT_S
        )
