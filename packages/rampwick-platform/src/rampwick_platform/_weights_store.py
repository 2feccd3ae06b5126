"""Weights targets of the runners, stored as one object on the platform."""

import secrets

from rampwick_schema import DataError, WeightsTarget, WeightsTargets, structure

from ._api import ABSENT, ObjectApi, StoredObject
from ._record_reading import decode_answer
from ._records import put_idempotent

WEIGHTS_KEY = "weights/targets"


class WeightsStore:
    """Reads and writes the weights targets."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        #: Errors of the targets that the last reading left out, by their place.
        self.unread: dict[str, str] = {}

    async def load(self) -> list[WeightsTarget]:
        """Return the targets; an empty list if none has been set."""
        stored = await self._api.get(WEIGHTS_KEY)
        return self._read_targets(stored) if stored else []

    async def set_target(self, target: WeightsTarget) -> None:
        """Replace the target of a model; VersionConflictError if a write came first."""
        stored = await self._api.get(WEIGHTS_KEY)
        current = self._read_targets(stored) if stored else []
        other_targets = [item for item in current if item.model != target.model]
        record = WeightsTargets(
            write_id=secrets.token_hex(8), targets=[*other_targets, target]
        )
        version = stored.version if stored else ABSENT
        await put_idempotent(self._api, WEIGHTS_KEY, record, version)

    def _read_targets(self, stored: StoredObject) -> list[WeightsTarget]:
        """Return the targets that are valid; raise DataError if there is no list."""
        step = "read WeightsTargets"
        try:
            items = decode_answer(stored.value, ("targets",))["targets"]
        except (ValueError, KeyError):
            raise DataError("has no targets", step=step, peer=stored.key) from None
        if not isinstance(items, list):
            raise DataError("targets is not a list", step=step, peer=stored.key)
        targets = []
        self.unread = {}
        for index, item in enumerate(items):
            try:
                targets.append(
                    structure(item, WeightsTarget, step=step, peer=stored.key)
                )
            except DataError as error:
                # The models of the others keep their targets.
                self.unread[f"{stored.key}[{index}]"] = str(error)
        return targets
