"""Stand-ins for the platform, runners and services, for demos and tests only."""

from ._engine import (
    Engine as Engine,
    EngineFaults as EngineFaults,
    EngineSettings as EngineSettings,
    Stream as Stream,
    answer_token as answer_token,
)
from ._platform import (
    PlatformFaults as PlatformFaults,
    PlatformStandIn as PlatformStandIn,
)
from ._runner import RunnerStandIn as RunnerStandIn, prompt_text as prompt_text
from ._serve import (
    address_of as address_of,
    bind_loopback as bind_loopback,
    serve_app as serve_app,
)
from ._service import ServiceStandIn as ServiceStandIn
from ._store import (
    Item as Item,
    ObjectStore as ObjectStore,
    PreconditionError as PreconditionError,
)
