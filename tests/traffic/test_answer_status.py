"""Tests which statuses are those of answers."""

import pytest

from ivystep.traffic import answer_status


@pytest.mark.parametrize('code', [0, 1, 20, 99, 600, 999, 2000])
def test_status_of_no_answer_is_refused(code):
    """Guards against an upstream in trouble whose bytes reach a caller."""
    with pytest.raises(answer_status.InvalidStatusError, match=f'{code:03}'):
        answer_status.AnswerStatus.from_head(code, has_body=False)


@pytest.mark.parametrize('code', [200, 204, 304, 404, 500, 599])
@pytest.mark.parametrize('has_body', [True, False])
def test_status_of_an_answer_is_accepted(code, has_body):
    """Guards against answers of upstreams that are lost."""
    status = answer_status.AnswerStatus.from_head(code, has_body=has_body)
    assert not status.is_interim


@pytest.mark.parametrize('code', [100, 102, 103, 199])
def test_interim_answer_has_no_body(code):
    """Guards against a body that is skipped as if no answer had come."""
    status = answer_status.AnswerStatus.from_head(code, has_body=False)
    assert status.is_interim
    with pytest.raises(answer_status.InvalidStatusError, match='no body'):
        answer_status.AnswerStatus.from_head(code, has_body=True)
