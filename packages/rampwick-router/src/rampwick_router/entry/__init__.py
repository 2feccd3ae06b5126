"""What callers meet: listener, requests, exchanges, relayed answers.

It owns each caller's request from its first byte to its one final answer. The listeners
of the daemon feed it; it asks the scheduler for decisions and sends attempts through
:mod:`~rampwick_router.upstream`. It reads the configuration that
:mod:`~rampwick_router.control` keeps, and knows nothing of peers.
"""

from ._call import bad_request as bad_request
from ._claims import ClaimTask as ClaimTask
from ._context import (
    EntryContext as EntryContext,
    RequestIdGenerator as RequestIdGenerator,
)
from ._entry import EntryApp as EntryApp
from ._stream_tokens import StreamTokens as StreamTokens
