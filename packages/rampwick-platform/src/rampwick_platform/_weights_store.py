"""Weights targets of the runners, stored as one object on the platform."""

import secrets

from rampwick_schema import WeightsTarget, WeightsTargets

from ._api import ABSENT, ObjectApi
from ._records import decode_record, put_idempotent

WEIGHTS_KEY = "weights/targets"


class WeightsStore:
    """Reads and writes the weights targets."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def load(self) -> list[WeightsTarget]:
        """Return the targets; an empty list if none has been set."""
        stored = await self._api.get(WEIGHTS_KEY)
        return decode_record(stored, WeightsTargets).targets if stored else []

    async def set_target(self, target: WeightsTarget) -> None:
        """Replace the target of a model; VersionConflictError if a write came first."""
        stored = await self._api.get(WEIGHTS_KEY)
        current = decode_record(stored, WeightsTargets).targets if stored else []
        other_targets = [item for item in current if item.model != target.model]
        record = WeightsTargets(
            write_id=secrets.token_hex(8), targets=[*other_targets, target]
        )
        version = stored.version if stored else ABSENT
        await put_idempotent(self._api, WEIGHTS_KEY, record, version)
