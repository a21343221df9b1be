"""Fuzz of the readers of answers, requests, events and frames.

Each property is checked with some hundred inputs. For a longer run by hand:

    FUZZ_EXAMPLES=20000 python -m pytest tests/traffic/test_reader_fuzz.py
"""

import contextlib
import dataclasses
import os
import socket

import hypothesis
import pytest
from hypothesis import strategies as st

from ivystep.core import errors
from ivystep.traffic import event_stream, http1
from ivystep.wire import channel
from ivystep.wire.gen import ttypes

MAX_HEAD = 400
MAX_BODY = 300
FUZZ = hypothesis.settings(
    max_examples=int(os.environ.get('FUZZ_EXAMPLES', '200')),
    deadline=None,
    derandomize='FUZZ_EXAMPLES' not in os.environ,
)

sizes = st.lists(st.integers(1, 90), max_size=25)
bodies = st.binary(max_size=120)
fields = st.lists(
    st.sampled_from((b'a: b', b'Server: x', b'x-y:', b'Date: today')),
    max_size=3,
)


def split(stream, cuts):
    """Return the pieces of a stream; without cuts, single bytes."""
    if not cuts:
        return [stream[at : at + 1] for at in range(len(stream))]
    pieces = []
    for cut in cuts:
        pieces.append(stream[:cut])
        stream = stream[cut:]
    return [piece for piece in (*pieces, stream) if piece]


@dataclasses.dataclass(frozen=True)
class Sample:
    """A well-formed message and what its reader must find."""

    encoded: bytes
    found: tuple
    is_until_close: bool = False


def head_of(first, lines):
    return b''.join(line + b'\r\n' for line in (first, *lines)) + b'\r\n'


@st.composite
def chunked(draw, body):
    """Encode a body in chunks of any size, with extensions and trailers."""
    extension = draw(st.sampled_from((b'', b';x', b';name="value"')))
    encoded = b''
    for piece in split(body, draw(sizes)):
        encoded += b'%x%b\r\n%b\r\n' % (len(piece), extension, piece)
    return encoded + head_of(b'0' + extension, draw(fields))


@st.composite
def answers(draw):
    """Return an answer after interim answers, in any framing."""
    encoded = b''
    for status in draw(st.lists(st.sampled_from((100, 102, 103)), max_size=3)):
        encoded += head_of(b'HTTP/1.1 %d Wait' % status, draw(fields))
    framing = draw(st.sampled_from(http1.Framing))
    body = draw(bodies)
    lines = draw(fields)
    status = 200
    payload = body
    if framing is http1.Framing.NONE:
        status, body, payload = draw(st.sampled_from((204, 304))), b'', b''
    elif framing is http1.Framing.LENGTH:
        lines = [*lines, b'Content-Length: %d' % len(body)]
    elif framing is http1.Framing.CHUNKED:
        lines = [*lines, b'Transfer-Encoding: chunked']
        payload = draw(chunked(body))
    encoded += head_of(b'HTTP/1.1 %d Any' % status, lines) + payload
    is_until_close = framing is http1.Framing.UNTIL_CLOSE
    return Sample(encoded, (status, framing, body), is_until_close)


@st.composite
def requests(draw):
    """Return a request without a body, with a length, or in chunks."""
    body = draw(bodies)
    lines = [b'Host: x', *draw(fields)]
    kind = draw(st.sampled_from(('none', 'length', 'chunked')))
    payload = body
    if kind == 'none':
        body = payload = b''
    elif kind == 'length':
        lines.append(b'Content-Length: %d' % len(body))
    else:
        lines.append(b'Transfer-Encoding: chunked')
        payload = draw(chunked(body))
    encoded = head_of(b'POST /a HTTP/1.1', lines) + payload
    return Sample(encoded, ('POST', '/a', body))


@st.composite
def damaged(draw, samples):
    """Return messages with bytes removed, repeated or replaced."""
    stream = bytearray(b''.join(sample.encoded for sample in samples))
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, len(stream)))
        end = at + draw(st.integers(0, 30))
        part = bytes(stream[at:end])
        stream[at:end] = draw(
            st.sampled_from((b'', part * 2, b'\r\n', b'\x00\xff'))
            | st.binary(max_size=8)
        )
    return bytes(stream)


def drain(reader, found):
    event = reader.next_event()
    while event is not None:
        found.append(event)
        event = reader.next_event()


def read_answer(pieces, is_closed=False):
    """Return the reader and its events; none may be withheld."""
    reader = http1.AnswerReader()
    found = []
    for piece in pieces:
        reader.feed(piece)
        drain(reader, found)
    if is_closed:
        reader.feed_eof()
        drain(reader, found)
    return reader, found


def first_answer(found):
    """Return the first answer among events; None if it is not complete."""
    if http1.MessageEnd() not in found:
        return None
    head, *rest = found[: found.index(http1.MessageEnd())]
    return head.status, head.framing, b''.join(one.content for one in rest)


@FUZZ
@hypothesis.given(answers(), sizes)
def test_answer_is_the_same_however_it_is_split(sample, cuts):
    """Guards against answers that depend on the segments of the network."""
    reader, found = read_answer(
        split(sample.encoded, cuts), sample.is_until_close
    )
    assert first_answer(found) == sample.found
    assert reader.is_clean is not sample.is_until_close


@FUZZ
@hypothesis.given(answers(), sizes, st.data())
def test_truncated_answer_is_never_complete(sample, cuts, data):
    """Guards against half an answer that a caller gets as a whole one."""
    hypothesis.assume(not sample.is_until_close)
    cut = data.draw(st.integers(0, len(sample.encoded) - 1))
    found = []
    with contextlib.suppress(errors.LinkError):
        reader, found = read_answer(split(sample.encoded[:cut], cuts))
        assert cut == 0 or first_answer(found) is None
        reader.feed_eof()
        drain(reader, found)
    assert first_answer(found) is None
    assert not reader.is_clean


@FUZZ
@hypothesis.given(answers(), answers(), sizes)
def test_connection_with_a_second_answer_is_not_clean(first, second, cuts):
    """Guards against an answer that reaches the next request."""
    hypothesis.assume(not first.is_until_close)
    reader = http1.AnswerReader()
    for piece in split(first.encoded, cuts):
        reader.feed(piece)
    for piece in split(second.encoded, cuts):
        reader.feed(piece)
    found = []
    while http1.MessageEnd() not in found:
        found.append(reader.next_event())
    assert first_answer(found) == first.found
    assert not reader.is_clean or reader.next_event() is not None


@FUZZ
@hypothesis.given(st.data(), sizes)
def test_damaged_answers_raise_link_errors_only(data, cuts):
    """Guards against tasks that end by an error that nobody handles."""
    samples = data.draw(st.lists(answers(), min_size=1, max_size=3))
    stream = data.draw(damaged(samples))
    with contextlib.suppress(errors.LinkError):
        _, found = read_answer(split(stream, cuts), is_closed=True)
        body = sum(
            len(event.content)
            for event in found
            if isinstance(event, http1.BodyChunk)
        )
        assert body <= len(stream)


def read_requests(reader):
    found = []
    raw = reader.next_request()
    while raw is not None:
        found.append((raw.method, raw.target, bytes(raw.body)))
        raw = reader.next_request()
    return found


@FUZZ
@hypothesis.given(st.lists(requests(), max_size=4), sizes, st.data())
def test_requests_are_the_same_however_they_are_split(samples, cuts, data):
    """Guards against requests joined, lost, or taken for whole when cut."""
    stream = b''.join(sample.encoded for sample in samples)
    last = data.draw(requests())
    cut = data.draw(st.integers(0, len(last.encoded) - 1))
    reader = http1.RequestReader(MAX_HEAD, MAX_BODY)
    for piece in split(stream + last.encoded[:cut], cuts):
        reader.feed(piece)
    assert read_requests(reader) == [sample.found for sample in samples]


@FUZZ
@hypothesis.given(st.data(), sizes)
def test_damaged_requests_are_refused_and_keep_little(data, cuts):
    """Guards against a caller that ends a task or takes memory."""
    samples = data.draw(st.lists(requests(), min_size=1, max_size=3))
    reader = http1.RequestReader(MAX_HEAD, MAX_BODY)
    for piece in split(data.draw(damaged(samples)), cuts):
        reader.feed(piece)
        with contextlib.suppress(http1.BadRequestError):
            read_requests(reader)
        assert reader.buffered_bytes <= MAX_HEAD + MAX_BODY + len(piece)


@pytest.mark.parametrize(
    ('first', 'rest'),
    [
        (b'GET /', b'a'),
        (b'GET / HTTP/1.1\r\na: ', b'b'),
        (b'GET / HTTP/1.1\r\n', b'a: b\r\n'),
        (
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\nx\r\n',
        ),
        (b'POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n', b'xyz'),
    ],
)
@pytest.mark.parametrize('count', [1, 40])
def test_request_without_an_end_is_refused(first, rest, count):
    """Guards against a caller whose request is kept for ever."""
    reader = http1.RequestReader(MAX_HEAD, MAX_BODY)
    reader.feed(first)
    for _ in range(2 * (MAX_HEAD + MAX_BODY)):
        reader.feed(rest * count)
    with pytest.raises(http1.BadRequestError):
        read_requests(reader)


ends = st.sampled_from((b'\n', b'\r', b'\r\n'))
texts = st.lists(
    st.sampled_from((b'data: a', b'id: 7', b': note', b'data:')),
    min_size=1,
    max_size=4,
)


@FUZZ
@hypothesis.given(st.lists(texts, max_size=5), texts, ends, sizes)
def test_events_are_complete_and_the_same_however_split(
    events, rest, end, cuts
):
    """Guards against events that are lost, joined or passed on in part."""
    blocks = [b''.join(line + end for line in event) + end for event in events]
    tail = end.join(rest)
    stream = b''.join(blocks) + tail
    splitter = event_stream.EventSplitter()
    complete = b''.join(splitter.feed(piece) for piece in split(stream, cuts))
    assert complete + splitter.remainder == stream
    assert splitter.remainder.lstrip(b'\r\n') == tail
    assert complete.split() == b''.join(blocks).split()


MESSAGES = (
    ttypes.AnswerChunk(b'body', 'attempt-1', 0),
    ttypes.AnswerEnd('attempt-1', None, 'incarnation', 4),
    ttypes.Hello('process', '', 'entry', 1),
    ttypes.Demand('entry', 'pool', []),
    ttypes.LoadResult(True, 'code', 'reason'),
)


@FUZZ
@hypothesis.given(
    st.sampled_from(MESSAGES),
    st.lists(st.tuples(st.integers(0, 60), st.binary(max_size=3)), max_size=4),
)
def test_damaged_frame_raises_link_errors_only(message, changes):
    """Guards against tasks that end by an error that nobody handles."""
    payload = bytearray(channel.encode(message)[channel.HEADER.size :])
    for at, replaced in changes:
        payload[at : at + 1] = replaced
    with contextlib.suppress(errors.LinkError):
        assert channel.decode(bytes(payload)) is not None


@FUZZ
@hypothesis.given(st.sampled_from(MESSAGES), st.data())
def test_truncated_frame_is_never_a_message(message, data):
    """Guards against half a frame that is taken for a whole one."""
    encoded = channel.encode(message)
    cut = data.draw(st.integers(0, len(encoded) - 1))
    near, far = socket.socketpair()
    with contextlib.closing(near):
        link = channel.Channel(near, 'near')
        far.sendall(encoded[:cut])
        far.close()
        with pytest.raises(errors.LinkError):
            link.receive(5)
        assert link.is_closed
