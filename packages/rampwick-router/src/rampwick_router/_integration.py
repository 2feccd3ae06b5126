"""What a deployment with a platform of its own brings into the daemon."""

from typing import Protocol

import attrs

from rampwick_platform import StoreDialect
from rampwick_schema import ReprMixin

from ._dialects import Dialects
from .control import ConfigurationReader, TargetReader, UpstreamReader


class StoreReader(ConfigurationReader, UpstreamReader, TargetReader, Protocol):
    """How everything that others keep in the store is read."""


@attrs.frozen(repr=False)
class Integration(ReprMixin):
    """Translations between a platform's protocols and rampwick's own terms."""

    store: StoreDialect
    reader: StoreReader
    dialects: Dialects
