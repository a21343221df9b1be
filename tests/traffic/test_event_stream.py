"""Tests of splitting a stream into events."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import errors
from ivystep.traffic import event_stream

STREAMS = (
    b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    b'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n',
    b'id: 1\rdata: a\r\rid: 2\rdata: b\r\r',
    b'id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n',
)


@pytest.mark.parametrize('stream', STREAMS)
@hypothesis.given(sizes=strategies.lists(strategies.integers(1, 9)))
def test_events_are_found_however_the_bytes_arrive(stream, sizes):
    """Guards against lost bytes, and against line ends that are not LF."""
    splitter = event_stream.EventSplitter()
    complete = b''
    position = 0
    for size in (*sizes, len(stream)):
        complete += splitter.feed(stream[position : position + size])
        position += size
    assert complete + splitter.remainder == stream
    assert not splitter.is_inside_event
    assert event_stream.last_id(complete) == '2'


@pytest.mark.parametrize('stream', STREAMS)
def test_every_cut_inside_an_event_is_noticed(stream):
    """Guards against an incomplete event that counts as complete."""
    first_end = len(stream) // 2
    for cut in range(1, first_end):
        splitter = event_stream.EventSplitter()
        complete = splitter.feed(stream[:cut])
        assert splitter.is_inside_event is (not complete)


@pytest.mark.parametrize('rest', [b'', b'\n', b': keep-alive\n', b': kee'])
def test_comments_after_the_last_event_are_no_event(rest):
    """Guards against a complete stream that counts as broken off."""
    splitter = event_stream.EventSplitter()
    splitter.feed(b'data: a\n\n' + rest)
    assert not splitter.is_inside_event


def test_event_without_end_is_refused():
    """Guards against an event that fills the memory of the process."""
    splitter = event_stream.EventSplitter()
    splitter.feed(b'x' * event_stream.MAX_EVENT_BYTES)
    with pytest.raises(errors.LinkError):
        splitter.feed(b'x')
