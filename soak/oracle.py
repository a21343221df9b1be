"""Compares the results of callers with what the engines ran."""

import collections
import json
import pathlib
import re
from collections.abc import Collection, Iterable

from soak import callers

# Log lines that show a defect of the process.
FAULT_LINES = re.compile(r'Invariant violated|Traceback|met a fault')
RESULTS_WITHOUT_ANSWER = frozenset(
    (callers.CallResult.BROKEN, callers.CallResult.NO_ANSWER)
)


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
    """Return a line for each result that contradicts the engines' journals.

    Args:
        outcomes: Outcomes of all calls.
        names_by_prompt: Adapters that ran each prompt.
        disturbed_entries: Entries that were killed or suspended; only their
            callers may remain without an answer.
    """
    group_by_prompt = collections.defaultdict(list)
    found = []
    for outcome in outcomes:
        group_by_prompt[outcome.request.prompt].append(outcome)
        is_unanswered = outcome.result in RESULTS_WITHOUT_ANSWER
        if is_unanswered and outcome.entry not in disturbed_entries:
            found.append(f'no answer: {outcome}')
        is_complete = outcome.result is callers.CallResult.COMPLETE
        if is_complete and outcome.text != outcome.request.text:
            found.append(f'wrong answer: {outcome}')
    for prompt, group in group_by_prompt.items():
        found.extend(_check_group(group, names_by_prompt.get(prompt, [])))
    return found


def fault_lines(folder: pathlib.Path) -> list[str]:
    """Return the log lines that report a defect of the process."""
    return [
        f'{path.name}: {line}'
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text(errors='replace').splitlines()
        if FAULT_LINES.search(line)
    ]


def _check_group(group: list[callers.Outcome], names: list[str]) -> list[str]:
    request = group[0].request
    results = {outcome.result for outcome in group}
    ends = [
        f'{one.entry}: {one.result.value} {one.status} {one.code}'
        for one in group
    ]
    summary = f'{request} ran {len(names)} times, results {ends}'
    found = []
    if any(name != request.lora_name for name in names):
        found.append(f'wrong adapter ran {names}: {summary}')
    if request.at_most_once and len(names) > 1:
        found.append(f'ran more than once: {summary}')
    if results == {callers.CallResult.NOT_RUN} and names:
        found.append(f'ran although reported as not run: {summary}')
    if (
        results & {callers.CallResult.RUN, callers.CallResult.COMPLETE}
        and not names
    ):
        found.append(f'reported as run but did not run: {summary}')
    return found
