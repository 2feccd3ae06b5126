"""Access decisions on a configuration that can be confirmed."""

import anyio

from rampwick_policy import Access, Verdict

from .._dialects import RoutedCall
from ._context import EntryContext

#: Timeout of a configuration refresh for a request that no configuration covers yet.
REFRESH_TIMEOUT_SECONDS = 0.4


async def confirm_access(context: EntryContext, call: RoutedCall) -> Access:
    """Return the access decision, after a refresh if it can't be confirmed."""
    access = context.check_access(call)
    if access.verdict in (Verdict.STALE, Verdict.NO_CONFIGURATION):
        with anyio.move_on_after(REFRESH_TIMEOUT_SECONDS):
            await context.configuration.refresh()
        access = context.check_access(call)
    return access
