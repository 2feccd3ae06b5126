"""Parsing and validation of callers' requests.

All functions are pure. An invalid request raises a CallerError with a 4xx status and a
message that names the fault.
"""

import hashlib
import math
import re
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from rampwick_platform import is_nested_deeper
from rampwick_policy import (
    MAX_PART_KEYS,
    PRIORITY_CLASSES,
    PrefixChain,
    Scope,
    TreeView,
    Workspace,
    build_chain,
    part_key,
)
from rampwick_schema import PlacementSettings, ReprMixin

from .._errors import CallerError

#: Request headers that callers may set.
DEADLINE_HEADER = "rampwick-deadline-seconds"
CLASS_HEADER = "rampwick-class"
REPEAT_HEADER = "rampwick-repeat"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"

MAX_KEY_CHARACTERS = 255
MAX_DEADLINE_SECONDS = 3600.0
MAX_MESSAGES = 4096
MAX_ANSWER_TOKENS = 1_000_000

#: Deepest nesting of a body. Bodies are encoded again for engines, within 254 levels.
MAX_BODY_NESTING = 200

STEP = "check request"

#: Memory of a value of a parsed body, of its containers, and the size up to which it is
#: estimated without a look at what is text.
VALUE_BYTES = 64
LIST_BYTES = 128
OBJECT_BYTES = 300
ROUGH_ESTIMATE_BYTES = 262_144

_JSON_TEXT = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)

#: What only texts beyond the basic multilingual plane contain.
_WIDE_CHARACTER = re.compile(rb"[\xf0-\xf4]|\\u[dD][89abAB]")

#: Priorities sent to engines, which serve lower numbers first.
ENGINE_PRIORITIES = {name: rank for rank, name in enumerate(PRIORITY_CLASSES)}


@attrs.frozen(repr=False)
class CallTerms(ReprMixin):
    """Workspace, class, deadline and repeatability of a request of any kind."""

    workspace: Workspace
    priority_class: str
    #: Time from arrival after which the response is useless to the caller.
    deadline_seconds: float
    is_repeatable: bool
    idempotency_key: str = ""


@attrs.frozen(repr=False)
class ModelCall(ReprMixin):
    """A validated request to a model."""

    terms: CallTerms
    scope: Scope
    chain: PrefixChain
    #: Parsed body as the caller sent it; fields for the engine are added to a copy.
    body: dict[str, Any]
    #: Body in the caller's bytes.
    raw: bytes
    is_chat: bool
    is_streamed: bool
    wants_usage: bool
    max_answer_tokens: int


def bad_request(message: str, code: str = "invalid_request") -> CallerError:
    """Return the error for a malformed request."""
    return CallerError(message, status=400, code=code, step=STEP)


def hash_key(key: str) -> str:
    """Return the hash by which the configuration identifies a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_workspace(view: TreeView, headers: Mapping[str, str]) -> Workspace:
    """Return the workspace that the bearer key belongs to."""
    kind, _, key = headers.get("authorization", "").partition(" ")
    if kind.lower() != "bearer" or not key:
        raise CallerError(
            "a bearer key is needed", status=401, code="no_key", step="find workspace"
        )
    workspace = view.find_workspace(hash_key(key))
    if workspace is None:
        raise CallerError(
            "the key is unknown", status=401, code="unknown_key", step="find workspace"
        )
    return workspace


def read_terms(
    workspace: Workspace,
    headers: Mapping[str, str],
    *,
    default_deadline_seconds: float,
    repeatable_by_default: bool,
) -> CallTerms:
    """Return the terms given by the request's headers and its workspace."""
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise bad_request(
            f"{IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_CHARACTERS}"
        )
    return CallTerms(
        workspace=workspace,
        priority_class=_read_priority_class(workspace, headers),
        deadline_seconds=_read_deadline(workspace, headers, default_deadline_seconds),
        is_repeatable=_read_repeatable(headers, key, repeatable_by_default),
        idempotency_key=key,
    )


def _read_priority_class(workspace: Workspace, headers: Mapping[str, str]) -> str:
    name = headers.get(CLASS_HEADER, workspace.priority_class)
    if name not in PRIORITY_CLASSES:
        allowed = ", ".join(PRIORITY_CLASSES)
        raise bad_request(f"{CLASS_HEADER} is {name!r}, allowed is {allowed}")
    return name


def _read_deadline(
    workspace: Workspace, headers: Mapping[str, str], default_seconds: float
) -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return workspace.deadline_seconds or default_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise bad_request(
            f"{DEADLINE_HEADER} is {text!r}, allowed is a number up to "
            f"{MAX_DEADLINE_SECONDS:g}"
        )
    return seconds


def _read_repeatable(headers: Mapping[str, str], key: str, default: bool) -> bool:
    text = headers.get(REPEAT_HEADER)
    if text not in (None, "never", "allowed"):
        raise bad_request(f"{REPEAT_HEADER} is {text!r}, allowed is never, allowed")
    if key:
        if text == "allowed":
            raise bad_request(
                f"{IDEMPOTENCY_KEY_HEADER} goes with {REPEAT_HEADER}: never"
            )
        return False
    return default if text is None else text == "allowed"


def parsed_bytes(raw: bytes) -> int:
    """Return an estimate of the memory that a body takes, with its parsed values.

    It is the body itself, its text, the body for the upstream, and a fixed amount for
    each value, since a short value takes many times its length.
    """
    copies_count = 2 + _character_bytes(raw)
    rough_bytes = copies_count * len(raw) + _values_bytes(raw)
    if rough_bytes <= ROUGH_ESTIMATE_BYTES:
        return rough_bytes
    return copies_count * len(raw) + _values_bytes(_JSON_TEXT.sub(b"", raw))


def _character_bytes(raw: bytes) -> int:
    """Return the bytes of a character in a text that may hold any of a body."""
    if raw.isascii() and b"\\u" not in raw:
        return 1
    return 4 if _WIDE_CHARACTER.search(raw) else 2


def _values_bytes(raw: bytes) -> int:
    return (
        raw.count(b",") * VALUE_BYTES
        + raw.count(b"[") * LIST_BYTES
        + raw.count(b"{") * OBJECT_BYTES
    )


def read_model_call(
    raw: bytes, terms: CallTerms, settings: PlacementSettings, *, is_chat: bool
) -> ModelCall:
    """Parse and validate the body of a request to a model."""
    body = _read_object(raw)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise bad_request("model is missing")
    if not terms.workspace.allows_model(model):
        raise CallerError(
            f"model {model!r} is not open to this workspace",
            status=403,
            code="model_not_allowed",
            step=STEP,
        )
    text, boundaries = _read_messages(body) if is_chat else _read_prompt(body)
    options = body.get("stream_options") or {}
    if not isinstance(options, dict):
        raise bad_request("stream_options is not an object")
    if body.get("n", 1) != 1:
        raise bad_request("n is not 1; ask for each answer by itself")
    scope = Scope(terms.workspace.path, model, _read_adapter(body))
    chain = build_chain(
        scope,
        text,
        block_bytes=settings.block_bytes,
        bytes_per_token=settings.bytes_per_token,
        boundaries_bytes=boundaries,
    )
    return ModelCall(
        terms=terms,
        scope=scope,
        chain=chain,
        body=body,
        raw=raw,
        is_chat=is_chat,
        is_streamed=_read_flag(body, "stream"),
        wants_usage=bool(options.get("include_usage")),
        max_answer_tokens=_read_max_tokens(body),
    )


def read_part_keys(call: ModelCall) -> list[bytes]:
    """Return the key of each part of a prompt but the last, wherever it stands.

    Callers of this interface name no parts. The units that other prompts may share are
    the messages of a chat, and the paragraphs or lines of a prompt in one text.
    """
    if call.is_chat:
        messages = enumerate(call.body["messages"][:-1])
        texts = [_render_message(index, message) for index, message in messages]
    else:
        texts = _split_text(call.body["prompt"])[:-1]
    return [part_key(call.scope, text) for text in texts]


def _split_text(prompt: str) -> list[bytes]:
    """Return the paragraphs of a text, or its lines if it has one paragraph only."""
    for separator in ("\n\n", "\n"):
        # What follows the parts that are considered stays one piece.
        texts = prompt.strip().split(separator, MAX_PART_KEYS)
        if len(texts) > 1:
            break
    return [_encode(text) for text in texts if text.strip()]


def _read_object(raw: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise bad_request(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise bad_request("the body is not a JSON object")
    brackets_count = raw.count(b"[") + raw.count(b"{")
    if brackets_count > MAX_BODY_NESTING and is_nested_deeper(body, MAX_BODY_NESTING):
        raise bad_request(f"the body is nested deeper than {MAX_BODY_NESTING} levels")
    return body


def _read_flag(body: dict[str, Any], name: str) -> bool:
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise bad_request(f"{name} is {value!r}, allowed is true or false")
    return value


def _read_adapter(body: dict[str, Any]) -> str:
    adapter = body.get("adapter", "")
    if not isinstance(adapter, str):
        raise bad_request("adapter is not a string")
    return adapter


def _read_max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return 0
    if type(value) is not int or not 0 < value <= MAX_ANSWER_TOKENS:
        raise bad_request(f"max_tokens is {value!r}, allowed is 1 to a million")
    return value


def _read_prompt(body: dict[str, Any]) -> tuple[bytes, list[int]]:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise bad_request("prompt is missing or not a string")
    return _encode(prompt), []


def _read_messages(body: dict[str, Any]) -> tuple[bytes, list[int]]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise bad_request("messages is missing, empty or too long")
    parts = []
    boundaries = []
    length = 0
    for index, message in enumerate(messages):
        part = _render_message(index, message)
        parts.append(part)
        length += len(part)
        boundaries.append(length)
    return b"".join(parts), boundaries


def _render_message(index: int, message: Any) -> bytes:
    if not isinstance(message, dict):
        raise bad_request(f"messages[{index}] is not an object")
    role = message.get("role")
    if not isinstance(role, str) or not role:
        raise bad_request(f"messages[{index}].role is missing")
    content = message.get("content")
    if not isinstance(content, str):
        # Content parts and tool calls enter the prefix chain as JSON text.
        return _encode(f"<{role}>") + orjson.dumps(message)
    return _encode(f"<{role}>{content}")


def _encode(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise bad_request("the text holds a lone surrogate") from None
