"""Targets of the runners' weights, kept as one object on the platform."""

import secrets

from rampwick_schema import WeightsTarget, WeightsTargets

from ._api import ABSENT, ObjectApi
from ._records import decode_record, put_idempotent

WEIGHTS_KEY = "weights/targets"


class WeightsStore:
    """Reads and writes the targets."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def load(self) -> list[WeightsTarget]:
        """Return the targets; none were ever set where there is no object."""
        stored = await self._api.get(WEIGHTS_KEY)
        return decode_record(stored, WeightsTargets).targets if stored else []

    async def set_target(self, target: WeightsTarget) -> None:
        """Replace one model's target; VersionConflictError if another write raced."""
        stored = await self._api.get(WEIGHTS_KEY)
        known = decode_record(stored, WeightsTargets).targets if stored else []
        others = [item for item in known if item.model != target.model]
        record = WeightsTargets(
            write_id=secrets.token_hex(8), targets=[*others, target]
        )
        version = stored.version if stored else ABSENT
        await put_idempotent(self._api, WEIGHTS_KEY, record, version)
