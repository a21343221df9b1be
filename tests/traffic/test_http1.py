"""Tests of parsing HTTP/1.1 from callers and upstreams."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import errors
from ivystep.traffic import http1

MAX_HEADER = 1000
MAX_BODY = 100
GET = b'GET /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n\r\n'
POST = b'POST /p/ HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /q/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nde\r\n1\r\nf\r\n0\r\n\r\n'
)


def read_all(reader):
    found = []
    raw = reader.next_request()
    while raw is not None:
        found.append((raw.method, raw.target, bytes(raw.body)))
        raw = reader.next_request()
    return found


def reader_of(*received):
    reader = http1.RequestReader(MAX_HEADER, MAX_BODY)
    for part in received:
        reader.feed(part)
    return reader


@hypothesis.given(
    strategies.lists(strategies.sampled_from((GET, POST, CHUNKED)), max_size=4),
    strategies.lists(strategies.integers(1, 60), max_size=12),
)
def test_requests_do_not_depend_on_how_bytes_are_split(sent, sizes):
    """Guards against bytes of one request attributed to the next."""
    stream = b''.join(sent)
    reader = http1.RequestReader(MAX_HEADER, MAX_BODY)
    for size in sizes:
        part, stream = stream[:size], stream[size:]
        if part:
            reader.feed(part)
    if stream:
        reader.feed(stream)
    assert read_all(reader) == read_all(reader_of(*sent))
    assert len(sent) == 0 or reader.is_idle


@pytest.mark.parametrize(
    'head',
    [
        b'Content-Length: 3\r\nTransfer-Encoding: chunked',
        b'Content-Length: 3\r\nContent-Length: 4',
        b'Content-Length : 3',
        b'Content-Length: +3',
        b'Transfer-Encoding: xchunked',
        b'Transfer-Encoding: chunked, identity',
        b'X: a\r\n folded: b',
        b'X: a\nTransfer-Encoding: chunked',
        b'X: a\rTransfer-Encoding: chunked',
    ],
)
def test_ambiguous_body_lengths_are_refused(head):
    """Guards against request smuggling."""
    hidden = b'\r\n\r\n0\r\n\r\nGET /hidden/ HTTP/1.1\r\nHost: x\r\n\r\n'
    reader = reader_of(b'POST /p/ HTTP/1.1\r\nHost: x\r\n' + head + hidden)
    with pytest.raises(http1.BadRequestError) as caught:
        read_all(reader)
    assert caught.value.status == 400


def test_chunked_body_in_http_1_0_is_refused():
    """Guards against a body that another server ends at another byte."""
    reader = reader_of(CHUNKED.replace(b'HTTP/1.1', b'HTTP/1.0'))
    with pytest.raises(http1.BadRequestError):
        read_all(reader)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /a/ HTTP/1.1\r\nX: ' + b'x' * MAX_HEADER + b'\r\n\r\n', 431),
        (b'GET /' + b'a' * MAX_HEADER + b' HTTP/1.1\r\nHost: x\r\n\r\n', 431),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n'
            + b'x' * 101,
            413,
        ),
    ],
)
def test_requests_over_the_size_limits_are_refused(sent, status):
    """Guards against callers that exhaust the memory."""
    with pytest.raises(http1.BadRequestError) as caught:
        read_all(reader_of(sent))
    assert caught.value.status == status


def test_requests_before_a_malformed_one_are_returned():
    """Guards against the loss of a valid request before a malformed one."""
    reader = reader_of(GET + b'nonsense\r\n\r\n')
    assert reader.next_request().target == '/a/b?c=d'
    with pytest.raises(http1.BadRequestError):
        reader.next_request()


def events_of(*received):
    reader = http1.AnswerReader()
    for part in received:
        reader.feed(part)
    found = []
    event = reader.next_event()
    while event is not None:
        found.append(event)
        event = reader.next_event()
    return reader, found


def test_answer_with_content_length_ends_with_its_last_byte():
    """Guards against an answer that never ends, or ends too early."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n'
    reader, found = events_of(head, b'ab')
    assert http1.MessageEnd() not in found
    reader.feed(b'c')
    assert reader.next_event() == http1.BodyChunk(b'c')
    assert reader.next_event() == http1.MessageEnd()
    assert reader.is_clean


def test_truncated_answer_raises_an_error():
    """Guards against a truncated answer taken for a complete one."""
    reader, _ = events_of(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na')
    with pytest.raises(errors.LinkError):
        reader.feed_eof()


def test_answer_without_length_ends_with_its_connection():
    """Guards against the loss of answers without a length."""
    reader, found = events_of(b'HTTP/1.1 200 OK\r\n\r\nabc')
    assert found[0].framing is http1.Framing.UNTIL_CLOSE
    reader.feed_eof()
    assert reader.next_event() == http1.MessageEnd()
    assert not reader.is_clean


def test_connection_with_bytes_after_an_answer_is_not_reused():
    """Guards against a surplus answer taken for that of the next request."""
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
    reader, found = events_of(answer + b'HTTP/1.1 200 OK\r\n')
    assert http1.MessageEnd() in found
    assert not reader.is_clean


@pytest.mark.parametrize('sent', [b'nonsense\r\n\r\n', b'\x00\x01\x02\r\n'])
def test_bytes_that_are_not_http_raise_an_error(sent):
    """Guards against forwarding bytes that are not an HTTP answer."""
    reader = http1.AnswerReader()
    with pytest.raises(errors.LinkError):
        reader.feed(sent)


def test_interim_answers_are_skipped():
    """Guards against a 100 (Continue) taken for the final answer."""
    _, found = events_of(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n'
    )
    assert [type(event) for event in found] == [http1.RawHead, http1.MessageEnd]
    assert found[0].status == 204


@pytest.mark.parametrize(
    'encodings',
    [
        b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip, Chunked\r\n',
        b'Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
        b'Transfer-Encoding: chunked, gzip\r\n',
    ],
)
def test_chunks_cut_by_an_orderly_close_are_no_answer(encodings):
    """Guards against chunks that are taken for a body without a length."""
    reader = http1.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\n' + encodings + b'\r\n8\r\nabcd')
    while reader.next_event() is not None:
        continue
    with pytest.raises(errors.LinkError):
        reader.feed_eof()


@pytest.mark.parametrize('size', [1, 40, MAX_HEADER])
def test_header_without_an_end_is_refused_whatever_its_pieces(size):
    """Guards against a caller whose header is kept until it times out."""
    reader = reader_of(b'GET / HTTP/1.1\r\na: ')
    for _ in range(2 * MAX_HEADER // size + 1):
        reader.feed(b'b' * size)
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 431


def test_whole_head_is_read_in_small_pieces_after_other_requests():
    """Guards against a bound that counts the bytes of earlier requests."""
    head = b'GET / HTTP/1.1\r\nHost: x\r\na: ' + b'b' * 900 + b'\r\n\r\n'
    stream = head * 3
    pieces = [stream[at : at + 7] for at in range(0, len(stream), 7)]
    assert len(read_all(reader_of(*pieces))) == 3


def test_head_that_begins_after_a_long_piece_is_not_too_long():
    """Guards against a pipelined request refused for the bytes before it."""
    sent = CHUNKED * (MAX_HEADER // len(CHUNKED) + 1) + POST
    reader = reader_of(sent[:-20], sent[-20:])
    assert len(read_all(reader)) == sent.count(b'Host')
