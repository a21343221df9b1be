"""Defines a caller's request and an upstream's answer as decoded records."""

import dataclasses

from ivystep.core import ids

Header = tuple[bytes, bytes]
# A received body stays in the buffer in which it has grown.
Body = bytes | bytearray


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """The generation parameters of a request to a model.

    Attributes:
        model: Name of the base model.
        adapter: Adapter of the model; empty for the base model alone.
        prompt_tokens: Number of tokens in the prompt.
        max_output_tokens: Largest number of tokens to generate.
        expected_output_tokens: The caller's estimate; 0 if it gives none.
        prompt_parts: Parts of the prompt in order. The last one belongs to
            this request or its session only.
    """

    model: str
    adapter: str = ''
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
        target: Path and query as the caller sent them.
        headers: Headers that are forwarded unchanged.
        host: Value of the ``Host`` header.
        time_budget_s: Time for which the caller waits; None if not stated.
        resumes_after: Id of the last event that the caller received; empty if
            it requests the whole stream.
        resumed_request_id: Request that brought the first event of a stream
            that the caller takes up; empty if not stated.
        body: The body, which nobody changes any more.
        arrived: Time at which the whole request had been received.
        caller: IP address of the caller.
        key_digest: Digest of the caller's API key; empty if it sent none.
        token_count: Tokens of the prompt and of the largest output together;
            None if not stated.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: Body
    arrived: float
    time_budget_s: float | None = None
    generation: Generation | None = None
    resumes_after: str = ''
    resumed_request_id: str = ''
    caller: str = ''
    key_digest: bytes = dataclasses.field(default=b'', repr=False)
    token_count: int | None = None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition('?')[0]

    @property
    def fingerprints(self) -> tuple[bytes, ...]:
        """Digests that are equal for a request that is sent again.

        The first one leaves the query out, in case it changes. A second one
        contains it, because other queries of the path may do well.
        """
        targets = dict.fromkeys((self.path, self.target))
        return tuple(
            ids.digest(
                self.method.encode(),
                self.host.encode(),
                target.encode(),
                self.body,
            )
            for target in targets
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The decoded head of an upstream's answer.

    Attributes:
        headers: Headers that are forwarded unchanged; framing is excluded.
        request_id: Request that the answer belongs to; empty if not stated.
        upstream_id: Upstream that answered; empty if not stated.
        is_not_run: Whether the upstream states that the request did not run.
        keep_alive_s: Time for which the upstream keeps an idle connection
            open; None if not stated.
        limit_per_s: Requests per second that the upstream takes from all hosts
            together; None if it names no limit.
        rest_s: Time for which the upstream wants no further requests of this
            host; None if it does not ask for rest.
        is_leaving: Whether the upstream states that it drains.
    """

    status: int
    reason: str
    headers: tuple[Header, ...]
    request_id: str = ''
    upstream_id: str = ''
    is_not_run: bool = False
    keep_alive_s: float | None = None
    limit_per_s: float | None = None
    rest_s: float | None = None
    is_leaving: bool = False
