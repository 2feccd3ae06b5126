"""Requests to models, sent to runners."""

import functools

import orjson

from rampwick_policy import (
    AttemptDone,
    Dispatch,
    RequestArrived,
    RequestIdentity,
    cache_salt,
)

from ._attempt_check import AttemptCheck
from ._call import ENGINE_PRIORITIES, ModelCall, read_part_keys
from ._context import EntryContext
from ._exchange import Exchange
from ._relay import Relay, RelayTarget
from ._request_body import Receive
from ._responder import Responder

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class ModelExchange(Exchange):
    """A request to a model."""

    def __init__(
        self,
        context: EntryContext,
        call: ModelCall,
        receive: Receive,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        super().__init__(context, call.terms, receive, responder, arrived_at_seconds)
        self._call = call
        self._path = CHAT_PATH if call.is_chat else TEXT_PATH
        self._last_chunk_seconds: float | None = None
        # Resolved once: the lookup of a label costs more than an observation.
        self._token_gap = context.metrics.token_gap.labels(*self.labels)

    def arrival(self) -> RequestArrived:
        """Return the event that submits the request to the scheduler."""
        terms = self.terms
        return RequestArrived(
            request_id=self.request_id,
            workspace=terms.workspace,
            priority_class=terms.priority_class,
            deadline_seconds=self.arrived_at_seconds + terms.deadline_seconds,
            is_repeatable=terms.is_repeatable,
            chain=self._call.chain,
            scope=self._call.scope,
            max_answer_tokens=self._call.max_answer_tokens,
            identity=RequestIdentity(
                terms.workspace.path,
                self._path,
                self._call.raw,
                functools.partial(read_part_keys, self._call),
            ),
        )

    async def attempt(self, dispatch: Dispatch, check: AttemptCheck) -> AttemptDone:
        """Make one attempt and relay its response."""
        target = RelayTarget(
            context=self.context,
            call=self._call,
            path=self._path,
            request_id=self.request_id,
            responder=self.responder,
            on_chunk=self._observe_chunk,
            check=check,
            recorder=self.recorder,
            prefers_new_connection=self.may_have_run,
        )
        relay = Relay(target, dispatch)
        await relay.run(self._engine_body(dispatch))
        usage = relay.response.usage or {}
        details = usage.get("prompt_tokens_details") or {}
        done = AttemptDone(
            request_id=self.request_id,
            attempt_id=dispatch.attempt_id,
            cached_tokens=int(details.get("cached_tokens", 0)),
            prompt_tokens=int(usage.get("prompt_tokens", 0)),
            answer_tokens=int(usage.get("completion_tokens", 0)),
        )
        self._count_tokens(done)
        return done

    def _engine_body(self, dispatch: Dispatch) -> bytes:
        salt = cache_salt(
            self._call.scope,
            dispatch.weights_version,
            self.context.settings.peers.secret,
        )
        return orjson.dumps(
            {
                **self._call.body,
                "stream": True,
                "stream_options": {"include_usage": True},
                "priority": ENGINE_PRIORITIES[self.terms.priority_class],
                "cache_salt": salt,
            }
        )

    def _count_tokens(self, done: AttemptDone) -> None:
        metrics = self.context.metrics
        cached = min(done.cached_tokens, done.prompt_tokens)
        missing = done.prompt_tokens - cached
        metrics.prompt_tokens.labels(*self.labels, "cached").inc(cached)
        metrics.prompt_tokens.labels(*self.labels, "recomputed").inc(missing)
        metrics.answer_tokens.labels(*self.labels).inc(done.answer_tokens)

    def _observe_chunk(self) -> None:
        """Observe the time to the first chunk, or between two chunks, in metrics."""
        now_seconds = self.context.read_clock()
        if self._last_chunk_seconds is None:
            waited = now_seconds - self.arrived_at_seconds
            self.context.metrics.first_token.labels(*self.labels).observe(waited)
        else:
            self._token_gap.observe(now_seconds - self._last_chunk_seconds)
        self._last_chunk_seconds = now_seconds
