"""A caller's request and an upstream's answer, free of any wire format."""

import dataclasses
import hashlib

Header = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """What a request asks of a model.

    Attributes:
        model: Base model.
        adapter: Adapter of the model; empty for the base model alone.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: The most tokens that may be generated.
        expected_output_tokens: The caller's estimate; 0 if it gives none.
        prompt_parts: Parts of the prompt in order; the last is the request's
            own or that of its session.
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
        time_budget_s: Time that the caller will wait; None if it names none.
        resumes_after: Id of the last event that the caller has; empty if it
            wants the whole stream.
        arrived: Time at which the head had been read.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    arrived: float
    time_budget_s: float | None = None
    generation: Generation | None = None
    resumes_after: str = ''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def fingerprint(self) -> bytes:
        """Digest that is equal when a caller repeats a request."""
        text = f'{self.host}\0{self.method}\0{self.target}\0'.encode()
        return hashlib.sha256(text + self.body).digest()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an upstream's answer, decoded.

    Attributes:
        headers: Headers that are forwarded unchanged, without framing.
        request_id: Request that the answer belongs to; empty if not named.
        upstream_id: Upstream that answers; empty if not named.
        is_not_run: Whether the upstream states that the request did not run.
        keep_alive_s: Time for which an idle connection stays open; None if
            the upstream names none.
    """

    status: int
    reason: str
    headers: tuple[Header, ...]
    request_id: str = ''
    upstream_id: str = ''
    is_not_run: bool = False
    keep_alive_s: float | None = None
