"""Tests of the settings page that is generated from the models."""

import pathlib

from ivystep.settings import describe

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'settings.md'


def test_settings_page_is_up_to_date():
    """Guards against a change of a model without rendering the page again."""
    assert PAGE.read_text(encoding='utf-8') == describe.describe()
