"""Compares what callers were told with what the engines ran."""

import collections
import json
import pathlib
import re
from collections.abc import Collection, Iterable

from soak import callers

# What a process must never log.
FAULT_LINES = re.compile(r'Invariant violated|Traceback|met a fault')
ENDS_WITHOUT_ANSWER = frozenset((callers.Told.BROKEN, callers.Told.SILENT))


def read_journals(paths: Iterable[pathlib.Path]) -> dict[str, list[str]]:
    """Return the adapters that ran each prompt, with repetitions."""
    names_by_prompt: dict[str, list[str]] = collections.defaultdict(list)
    for path in paths:
        for line in path.read_text(encoding='utf-8').splitlines():
            name, prompt = json.loads(line)
            names_by_prompt[prompt].append(name)
    return names_by_prompt


def violations(
    outcomes: Iterable[callers.Outcome],
    names_by_prompt: dict[str, list[str]],
    disturbed_entries: Collection[str],
) -> list[str]:
    """Return a line for each caller that was not told the truth.

    Args:
        outcomes: How all calls ended.
        names_by_prompt: What the engines ran.
        disturbed_entries: Entries that were killed or stopped; only their
            callers may have been left without an answer.
    """
    group_by_prompt = collections.defaultdict(list)
    found = []
    for outcome in outcomes:
        group_by_prompt[outcome.order.prompt].append(outcome)
        is_left = outcome.told in ENDS_WITHOUT_ANSWER
        if is_left and outcome.entry not in disturbed_entries:
            found.append(f'left without an answer: {outcome}')
        is_complete = outcome.told is callers.Told.COMPLETE
        if is_complete and outcome.text != outcome.order.text:
            found.append(f'wrong answer: {outcome}')
    for prompt, group in group_by_prompt.items():
        found.extend(_judge(group, names_by_prompt.get(prompt, [])))
    return found


def fault_lines(folder: pathlib.Path) -> list[str]:
    """Return the lines in logs that report a fault of the process itself."""
    return [
        f'{path.name}: {line}'
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text(errors='replace').splitlines()
        if FAULT_LINES.search(line)
    ]


def _judge(group: list[callers.Outcome], names: list[str]) -> list[str]:
    order = group[0].order
    told = {outcome.told for outcome in group}
    ends = [
        f'{one.entry}: {one.told.value} {one.status} {one.code}'
        for one in group
    ]
    summary = f'{order} ran {len(names)} times, told {ends}'
    found = []
    if any(name != order.lora_name for name in names):
        found.append(f'another adapter ran {names}: {summary}')
    if order.once and len(names) > 1:
        found.append(f'ran more than once: {summary}')
    if told == {callers.Told.NOT_RUN} and names:
        found.append(f'was run: {summary}')
    if told & {callers.Told.RUN, callers.Told.COMPLETE} and not names:
        found.append(f'was not run: {summary}')
    return found
