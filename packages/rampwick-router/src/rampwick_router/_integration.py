"""Interfaces for a deployment with its own platform and protocols."""

from typing import Protocol

import attrs

from rampwick_platform import StoreDialect
from rampwick_schema import ReprMixin

from ._dialects import Dialects
from .control import ConfigurationDecoder, TargetDecoder, UpstreamDecoder


class StoreDecoder(ConfigurationDecoder, UpstreamDecoder, TargetDecoder, Protocol):
    """Decodes the configuration, upstreams and targets in a store."""


@attrs.frozen(repr=False)
class Integration(ReprMixin):
    """Translations between a platform's protocols and rampwick's types."""

    store: StoreDialect
    decoder: StoreDecoder
    dialects: Dialects
    #: Whether the entries of upstreams state the version of their software. A stream
    #: then stays with the version that began it.
    has_software_versions: bool = False
