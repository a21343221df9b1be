"""Tests of the generated page of settings."""

import pathlib

from ivystep.settings import describe

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_the_page_is_current():
    """Guards against a page that differs from the models."""
    assert PAGE.read_text(encoding='utf-8') == describe.describe()
