"""Histories of concurrent runs, and one checker for each promise.

A history is what callers, runners and services saw. Checkers return the violations
they find, as sentences; an empty list means that the promise held.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs
import orjson

from rampwick_standin import answer_token


@attrs.frozen
class ObservedResponse:
    """One request as its caller saw it."""

    prompt: str
    status: int
    #: Tokens of the answer in the order of their coming.
    tokens: tuple[str, ...] = ()
    #: Whether the answer said that it was whole.
    is_whole: bool = False
    #: Code of the error that came, if any, and what it said of having run.
    error_code: str = ""
    was_run: str = ""
    request_id: str = ""
    key: str = ""


@attrs.frozen
class ObservedAttempt:
    """One attempt as an engine saw it."""

    runner: str
    attempt_id: str
    text: bytes
    salt: str
    cached_tokens: int
    weights_version: int
    incarnation: str
    #: Oldest weights that computed what was cached, where the engine tells it.
    cached_weights_version: int | None = None
    #: Whether the head of its answer announced the engine's shutdown.
    announced_leaving: bool = False


@attrs.frozen
class ObservedRevision:
    """One look at a host's revision in force."""

    host: str
    revision: int
    #: Era of the store in which the revision was written.
    store_era: int = 0


def expected_tokens(prompt: str, count: int) -> tuple[str, ...]:
    """Return the tokens that the toy engine answers a prompt with."""
    return tuple(answer_token(prompt.encode(), at) for at in range(count))


def check_responses(seen: Iterable[ObservedResponse], count: int) -> list[str]:
    """Each answer that calls itself whole is its own prompt's, whole, in order."""
    found = []
    for saw in seen:
        expected = expected_tokens(saw.prompt, count)
        if saw.is_whole and saw.tokens != expected:
            found.append(f"{saw.prompt!r} got {saw.tokens} as a whole answer")
        if saw.tokens != expected[: len(saw.tokens)]:
            found.append(f"{saw.prompt!r} got {saw.tokens}, no beginning of its own")
        if not saw.is_whole and saw.status == 200 and not saw.error_code:
            found.append(f"{saw.prompt!r} was cut without a word")
    return found


def check_at_most_once(runs: Sequence[str], once: Iterable[str]) -> list[str]:
    """Each marked call, named by its text, ran at most once."""
    counts = Counter(runs)
    return [f"{name} ran {counts[name]} times" for name in once if counts[name] > 1]


def check_not_run(seen: Iterable[ObservedResponse], runs: Sequence[str]) -> list[str]:
    """What was refused as not run is found in no upstream's list of runs."""
    ran = set(runs)
    return [
        f"{saw.prompt!r} was refused as not run, but ran"
        for saw in seen
        if saw.was_run == "no" and saw.prompt in ran
    ]


def check_final_responses(
    seen: Sequence[ObservedResponse], sent: Iterable[str]
) -> list[str]:
    """Each request that was sent has exactly one final answer."""
    counts = Counter(saw.prompt for saw in seen)
    return [
        f"{prompt!r} has {counts[prompt]} answers"
        for prompt in sent
        if counts[prompt] != 1
    ]


def check_cache(attempts: Iterable[ObservedAttempt]) -> list[str]:
    """No attempt uses entries that other weights computed.

    Where the engine does not tell which ones did, they are taken to be those under
    which the salt was seen first.
    """
    found = []
    weights_of: dict[str, int] = {}
    for saw in attempts:
        known = weights_of.setdefault(saw.salt, saw.weights_version)
        if saw.cached_weights_version is not None:
            known = saw.cached_weights_version
        if saw.cached_tokens and known != saw.weights_version:
            found.append(f"{saw.attempt_id} used entries of weights {known}")
    return found


def check_revisions(observed: Iterable[ObservedRevision]) -> list[str]:
    """No host's revision ever falls, unless the store was restored in between."""
    found = []
    highest: dict[str, tuple[int, int]] = {}
    for look in observed:
        version = (look.store_era, look.revision)
        if version < highest.get(look.host, (0, 0)):
            found.append(f"{look.host} went back to revision {look.revision}")
        highest[look.host] = max(version, highest.get(look.host, (0, 0)))
    return found


def read_stream(prompt: str, status: int, body: bytes, **fields) -> ObservedResponse:
    """Return what a caller saw of a streamed answer to a text completion."""
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
    """Return what a caller saw of an error."""
    error = orjson.loads(body)["error"]
    return ObservedResponse(
        prompt=prompt,
        status=status,
        error_code=error["code"],
        was_run=error["was_run"],
        **fields,
    )
