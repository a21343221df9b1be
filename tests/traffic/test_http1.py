"""Tests of parsing HTTP/1.1 from callers and upstreams."""

import contextlib
import itertools

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.core import errors, units
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


CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SEGMENT_BYTES = 16 * units.KIB
ENDLESS_BYTES = 2 * units.MIB
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'a'),
    'header name': (b'HTTP/1.1 200 OK\r\n', b'a'),
    'header value': (b'HTTP/1.1 200 OK\r\nA: ', b'a'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'Name: some value\r\n'),
    'short headers': (b'HTTP/1.1 200 OK\r\n', b'A:\r\n'),
    'trailers': (CHUNKED_HEAD + b'1\r\na\r\n0\r\n', b'Name: some value\r\n'),
    'trailer value': (CHUNKED_HEAD + b'1\r\na\r\n0\r\nA: ', b'a'),
    'chunk extension': (CHUNKED_HEAD + b'1;a=', b'a'),
    '100': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    '102': (b'', b'HTTP/1.1 102 Processing\r\nA: b\r\n\r\n'),
    'blank lines': (b'', b'\r\n'),
}


def endless_segments(start, repeated):
    """Yield a start and then a repetition of bytes, in segments."""
    stream = start + repeated * (ENDLESS_BYTES // len(repeated))
    for begin in range(0, len(stream), SEGMENT_BYTES):
        yield stream[begin : begin + SEGMENT_BYTES]


def feed_all(reader, segments):
    """Feed segments as long as the reader takes them."""
    for segment in segments:
        reader.feed(segment)
        while reader.next_event() is not None:
            continue


@pytest.mark.parametrize('name', ENDLESS)
def test_answers_without_an_end_raise_an_error(name):
    """Guards against an upstream that uses up the memory or the loop."""
    reader = http1.AnswerReader()
    with pytest.raises(errors.LinkError, match='exceeds the bound'):
        feed_all(reader, endless_segments(*ENDLESS[name]))
    assert reader.received_bytes <= 8 * SEGMENT_BYTES


@pytest.mark.parametrize(
    'name', ['status line', 'header name', 'trailer value', 'chunk extension']
)
def test_parts_of_an_answer_that_arrive_too_slowly_raise_an_error(name):
    """Guards against one byte a second, below all bounds of bytes."""
    seconds = itertools.count()
    reader = http1.AnswerReader(now=lambda: float(next(seconds)))
    start, repeated = ENDLESS[name]
    reader.feed(start)
    with pytest.raises(errors.LinkError, match='partial_s'):
        feed_all(reader, itertools.repeat(repeated[:1], 16))


def test_slow_streams_are_not_bound_in_time():
    """Guards against streams that are ended for their pauses."""
    hours = itertools.count(step=3600)
    reader = http1.AnswerReader(now=lambda: float(next(hours)))
    reader.feed(CHUNKED_HEAD)
    for _ in range(4):
        reader.feed(b'1\r\na\r')
        reader.feed(b'\n')
    reader.feed(b'0\r\n\r\n')
    assert reader.is_clean


def test_many_answers_and_long_bodies_are_within_the_bounds():
    """Guards against bounds that count over more than one answer."""
    reader = http1.AnswerReader()
    for _ in range(200):
        reader.feed(b'HTTP/1.1 100 Continue\r\n\r\n')
        reader.feed(CHUNKED_HEAD + http1.chunk(b'a' * 32 * units.KIB))
        reader.feed(b'1;b=c\r\na\r\n0\r\nName: value\r\n\r\n')
    assert reader.is_clean


def test_trailers_are_not_taken_for_headers_of_the_next_answer():
    """Guards against headers that an upstream did not send in the head."""
    _, found = events_of(
        CHUNKED_HEAD + b'0\r\nA: b\r\n\r\n' + b'HTTP/1.1 204 No\r\n\r\n'
    )
    assert found[2].headers == ()


ENDLESS_REQUESTS = {
    'header value': (b'GET / HTTP/1.1\r\nA: ', b'a'),
    'header name': (b'GET / HTTP/1.1\r\n', b'a'),
    'trailers': (CHUNKED[:-2], b'Name: some value\r\n'),
    'trailer value': (CHUNKED[:-2] + b'A: ', b'a'),
    'chunk extension': (CHUNKED[:-5] + b'1;a=', b'a'),
}


@pytest.mark.parametrize('name', ENDLESS_REQUESTS)
def test_requests_without_an_end_are_refused(name):
    """Guards against callers that send below the bound in each segment."""
    start, repeated = ENDLESS_REQUESTS[name]
    reader = reader_of(start)
    for _ in range(4 * MAX_HEADER):
        reader.feed(repeated)
    with pytest.raises(http1.BadRequestError) as caught:
        read_all(reader)
    assert caught.value.status == 431


def test_trailers_of_a_caller_are_no_headers():
    """Guards against trailers that override headers of a request."""
    reader = reader_of(CHUNKED[:-2] + b'Authorization: other\r\n\r\n')
    names = [name for name, _ in reader.next_request().headers]
    assert b'Authorization' not in names


def test_head_after_a_long_body_in_one_segment_is_not_refused():
    """Guards against bytes of a body that count as those of a head."""
    body = b'a' * MAX_BODY
    posts = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n' + body
    reader = reader_of(posts * 8 + GET[:20], GET[20:])
    assert len(read_all(reader)) == 9


def test_incomplete_header_of_a_caller_counts_as_buffered():
    """Guards against memory of callers that no budget counts."""
    reader = reader_of(b'GET / HTTP/1.1\r\nA: ' + b'a' * 500)
    assert reader.buffered_bytes >= 500


def test_header_value_that_never_ends_is_refused_in_small_parts():
    """Guards against a header that takes memory as long as it arrives."""
    reader = http1.RequestReader(100, 1000)
    reader.feed(b'GET / HTTP/1.1\r\nHost: ')
    for _ in range(100):
        reader.feed(b'x' * 10)
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 431


def test_bytes_of_an_earlier_request_are_not_counted_as_headers():
    """Guards against refusals of a short head that follows a long body."""
    reader = http1.RequestReader(100, 1000)
    reader.feed(b'POST / HTTP/1.1\r\nContent-Length: 70\r\n\r\n' + b'x' * 60)
    reader.feed(b'x' * 10 + b'GET / HTTP/1.1\r\nHost: ')
    reader.feed(b'y' * 60)
    reader.feed(b'\r\n\r\n')
    assert reader.next_request().method == 'POST'
    assert reader.next_request().method == 'GET'


ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc'
NEXT_ANSWER = b'HTTP/1.1 204 No\r\n\r\n'
NO_ANSWERS = [b'nonsense\r\n\r\n', b'HTTP/1.1 2x0', b'\x00\x01', b'HTTP/1.1 ']


@pytest.mark.parametrize('surplus', NO_ANSWERS)
@pytest.mark.parametrize('answer', [ANSWER, CHUNKED_HEAD + b'0\r\n\r\n'])
def test_answer_is_delivered_whatever_follows_it(answer, surplus):
    """Guards against a whole answer lost to bytes in the same segment."""
    reader, found = events_of(answer + surplus)
    assert [found[0].status, found[-1]] == [200, http1.MessageEnd()]
    assert not reader.is_clean


@pytest.mark.parametrize('surplus', NO_ANSWERS[:3])
def test_bytes_after_an_answer_are_no_answer_to_the_next_request(surplus):
    """Guards against a wait for more of what is no answer."""
    reader, _ = events_of(ANSWER + surplus)
    with pytest.raises(errors.LinkError):
        reader.raise_if_failed()
    with pytest.raises(errors.LinkError):
        reader.feed(ANSWER)


def test_next_answer_in_the_same_segment_is_no_error():
    """Guards against answers that are lost to those before them."""
    reader, found = events_of(ANSWER + NEXT_ANSWER)
    assert [type(event) for event in found] == [
        http1.RawHead,
        http1.BodyChunk,
        http1.MessageEnd,
        http1.RawHead,
        http1.MessageEnd,
    ]
    reader.raise_if_failed()
    assert reader.is_clean


@pytest.mark.parametrize('size', [1, 20, 50, 1000])
def test_malformed_answers_are_read_up_to_their_fault(size):
    """Guards against content that is lost by the segment it arrives in."""
    stream = CHUNKED_HEAD + b'1\r\na\r\n2\r\nbc\r\nxyz\r\n'
    parts = [stream[at : at + size] for at in range(0, len(stream), size)]
    reader = http1.AnswerReader()
    found = []
    with contextlib.suppress(errors.LinkError):
        for part in parts:
            reader.feed(part)
            found.extend(iter(reader.next_event, None))
    content = b''.join(chunk.content for chunk in found[1:])
    assert (found[0].status, content) == (200, b'abc')
    assert not reader.is_clean


def test_blank_line_after_an_answer_does_not_age_the_next_head():
    """Guards against an idle time that counts as the time of a head."""
    times = iter((0, 60, 61))
    reader = http1.AnswerReader(now=lambda: float(next(times)))
    reader.feed(b'\r\n')
    reader.feed(NEXT_ANSWER[:10])
    reader.feed(NEXT_ANSWER[10:12])
    assert reader.next_event() is None


BEYOND = {
    'head': b'HTTP/1.1 200 OK\r\nA: %b\r\n' % (b'a' * 70000),
    'headers': b'HTTP/1.1 200 OK\r\n' + b'A: b\r\n' * 300,
}


@pytest.mark.parametrize('name', BEYOND)
def test_whole_answer_beyond_a_bound_is_not_delivered(name):
    """Guards against an answer without those headers that were too many."""
    reader = http1.AnswerReader()
    with pytest.raises(errors.LinkError, match='exceeds the bound'):
        reader.feed(BEYOND[name] + b'Content-Length: 1\r\n\r\na')
    assert reader.next_event() is None


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


OFFERED_HEAD = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n'
)
OFFERED_REQUESTS = {
    'with a length': OFFERED_HEAD + b'Content-Length: 4\r\n\r\nbody',
    'in chunks': (
        OFFERED_HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
    ),
    'that expects': (
        OFFERED_HEAD + b'Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody'
    ),
}


@pytest.mark.parametrize(
    'sent', OFFERED_REQUESTS.values(), ids=list(OFFERED_REQUESTS)
)
@pytest.mark.parametrize('size', [1, 3, 17, 64, 10_000])
def test_request_that_offers_an_upgrade_keeps_its_body(sent, size):
    """Guards against requests that run without their body and count as done."""
    reader = http1.RequestReader(4096, 4096)
    plain = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx'
    stream = plain + sent + sent + plain
    for at in range(0, len(stream), size):
        reader.feed(stream[at : at + size])
    found = [reader.next_request() for _ in range(4)]
    assert [bytes(each.body) for each in found] == [
        b'x',
        b'body',
        b'body',
        b'x',
    ]
    assert [each.target for each in found] == ['/b', '/a', '/a', '/b']
    assert all(each.is_kept_alive for each in found)
    assert reader.next_request() is None
    assert reader.is_idle
    assert not reader.buffered_bytes


def test_offer_of_an_upgrade_leaves_the_bounds_in_force():
    """Guards against a way around the limits on headers and bodies."""
    reader = http1.RequestReader(4096, 3)
    reader.feed(OFFERED_REQUESTS['with a length'])
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 413
    reader = http1.RequestReader(4096, 3)
    reader.feed(OFFERED_REQUESTS['in chunks'])
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 413
    reader = http1.RequestReader(200, 4096)
    reader.feed(OFFERED_HEAD + b'Other: ' + b'x' * 200 + b'\r\n\r\n')
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 431


def test_request_for_a_tunnel_is_refused_and_not_run():
    """Guards against bytes of a tunnel that are taken for requests."""
    reader = http1.RequestReader(4096, 4096)
    reader.feed(
        b'CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\nGET / HTTP/1.1\r\n'
    )
    with pytest.raises(http1.BadRequestError) as caught:
        reader.next_request()
    assert caught.value.status == 400
