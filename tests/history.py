"""Histories of concurrent runs, and one checker for each guarantee.

A history is what callers, runners and services observed. Checkers return a list of
violations, one message each; it is empty if the guarantee held.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs
import orjson

from rampwick_standin import answer_token


@attrs.frozen
class ObservedResponse:
    """One request as its caller observed it."""

    prompt: str
    status: int
    #: Tokens of the response in order of arrival.
    tokens: tuple[str, ...] = ()
    #: Whether the response was marked complete.
    is_whole: bool = False
    #: Code of the error, if any, and whether it reports the request as run.
    error_code: str = ""
    was_run: str = ""
    request_id: str = ""
    key: str = ""


@attrs.frozen
class ObservedAttempt:
    """One attempt as an engine observed it."""

    runner: str
    attempt_id: str
    text: bytes
    salt: str
    cached_tokens: int
    weights_version: int
    incarnation: str
    #: Oldest weights that computed the cached tokens, if the engine reports it.
    cached_weights_version: int | None = None
    #: Whether the head of the response announced the engine's shutdown.
    announced_leaving: bool = False


@attrs.frozen
class ObservedRevision:
    """The revision in force on a host at one time."""

    host: str
    revision: int
    #: Era of the store in which the revision was written.
    store_era: int = 0


def expected_tokens(prompt: str, count: int) -> tuple[str, ...]:
    """Return the tokens of the stand-in engine's response to a prompt."""
    return tuple(answer_token(prompt.encode(), at) for at in range(count))


def check_responses(responses: Iterable[ObservedResponse], count: int) -> list[str]:
    """Each response is a prefix of the expected one, or equal if marked complete."""
    violations = []
    for response in responses:
        expected = expected_tokens(response.prompt, count)
        if response.is_whole and response.tokens != expected:
            violations.append(
                f"{response.prompt!r} got {response.tokens} as a complete response"
            )
        if response.tokens != expected[: len(response.tokens)]:
            violations.append(
                f"{response.prompt!r} got {response.tokens}, no prefix of its response"
            )
        if not response.is_whole and response.status == 200 and not response.error_code:
            violations.append(f"{response.prompt!r} was cut without an error")
    return violations


def check_at_most_once(runs: Sequence[str], once: Iterable[str]) -> list[str]:
    """Each call in `once`, named by its text, ran at most once."""
    counts = Counter(runs)
    return [f"{name} ran {counts[name]} times" for name in once if counts[name] > 1]


def check_not_run(
    responses: Iterable[ObservedResponse], runs: Sequence[str]
) -> list[str]:
    """No request that was refused as not run is in the upstreams' lists of runs."""
    ran = set(runs)
    return [
        f"{response.prompt!r} was refused as not run but ran"
        for response in responses
        if response.was_run == "no" and response.prompt in ran
    ]


def check_final_responses(
    responses: Sequence[ObservedResponse], sent: Iterable[str]
) -> list[str]:
    """Each request that was sent has exactly one final response."""
    counts = Counter(response.prompt for response in responses)
    return [
        f"{prompt!r} has {counts[prompt]} responses"
        for prompt in sent
        if counts[prompt] != 1
    ]


def check_cache(attempts: Iterable[ObservedAttempt]) -> list[str]:
    """No attempt uses cache entries that other weights computed.

    If the engine does not report which weights did, the weights of the first attempt
    with the same salt are assumed.
    """
    violations = []
    weights_of: dict[str, int] = {}
    for attempt in attempts:
        computed_by = weights_of.setdefault(attempt.salt, attempt.weights_version)
        if attempt.cached_weights_version is not None:
            computed_by = attempt.cached_weights_version
        if attempt.cached_tokens and computed_by != attempt.weights_version:
            violations.append(
                f"{attempt.attempt_id} used cache entries of weights {computed_by}"
            )
    return violations


def check_revisions(observed: Iterable[ObservedRevision]) -> list[str]:
    """No host's revision decreases, unless the store was restored in between."""
    violations = []
    highest: dict[str, tuple[int, int]] = {}
    for sample in observed:
        version = (sample.store_era, sample.revision)
        if version < highest.get(sample.host, (0, 0)):
            violations.append(f"{sample.host} decreased to revision {sample.revision}")
        highest[sample.host] = max(version, highest.get(sample.host, (0, 0)))
    return violations


def read_stream(prompt: str, status: int, body: bytes, **fields) -> ObservedResponse:
    """Return what a caller observed of a streamed response to a text completion."""
    if status != 200:
        return read_error(prompt, status, body, **fields)
    tokens = []
    is_whole = False
    error: dict[str, str] = {}
    for block in body.split(b"\n\n"):
        data = b"".join(
            line[6:] for line in block.split(b"\n") if line.startswith(b"data: ")
        )
        if data == b"[DONE]":
            is_whole = True
        elif data:
            parsed = orjson.loads(data)
            error = parsed.get("error", error)
            for choice in parsed.get("choices", []):
                tokens.append(choice["text"])
    return ObservedResponse(
        prompt=prompt,
        status=status,
        tokens=tuple(tokens),
        is_whole=is_whole,
        error_code=error.get("code", ""),
        was_run=error.get("was_run", ""),
        **fields,
    )


def read_error(prompt: str, status: int, body: bytes, **fields) -> ObservedResponse:
    """Return what a caller observed of an error response."""
    error = orjson.loads(body)["error"]
    return ObservedResponse(
        prompt=prompt,
        status=status,
        error_code=error["code"],
        was_run=error["was_run"],
        **fields,
    )
