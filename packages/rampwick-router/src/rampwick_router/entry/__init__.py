"""The callers' interface: request handling and relayed responses.

Each caller's request is handled here from its first byte to its single final response.
The HTTP servers of the daemon call :class:`EntryApp`; it requests decisions from the
scheduler and sends attempts through :mod:`~rampwick_router.upstream`. It reads the
configuration that :mod:`~rampwick_router.control` maintains, and does not import
:mod:`~rampwick_router.peers`.
"""

from ._call import bad_request as bad_request
from ._claims import ClaimTask as ClaimTask
from ._context import (
    EntryContext as EntryContext,
    RequestIdGenerator as RequestIdGenerator,
)
from ._entry import EntryApp as EntryApp
from ._stream_tokens import StreamTokens as StreamTokens
