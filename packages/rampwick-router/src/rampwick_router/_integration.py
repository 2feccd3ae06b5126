"""What a deployment with a platform of its own brings into the daemon."""

from typing import Protocol

import attrs

from rampwick_platform import StoreDialect

from ._dialects import Dialects
from .control import ReadsConfiguration, ReadsTargets, ReadsUpstreams


class StoreReader(ReadsConfiguration, ReadsUpstreams, ReadsTargets, Protocol):
    """How everything that others keep in the store is read."""


@attrs.frozen
class Integration:
    """Translations between a platform's protocols and rampwick's own terms."""

    store: StoreDialect
    reader: StoreReader
    dialects: Dialects
