"""Whether a request on a route may run, by the configuration in force and its age.

A host that can't confirm its configuration may miss that a key was taken away. So a
request with a key needs one that was confirmed lately, and nobody is told that a
route or key is unknown by a configuration that may be old.
"""

import enum

import attrs

from rampwick_schema import ReprMixin, Route

from ._tree import TreeView, Workspace


class Verdict(enum.Enum):
    """What the configuration says of a request."""

    ALLOWED = "allowed"
    #: No configuration is known yet.
    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    #: The configuration is too old to say.
    STALE = "stale_configuration"


@attrs.frozen(repr=False)
class AccessRules(ReprMixin):
    """How old a configuration may be; ages count from its last confirmation."""

    #: Age up to which keys are honoured; none sets no bound.
    max_key_age_seconds: float | None = None
    #: Age up to which an unknown route or key is believed to be unknown; none sets
    #: no bound.
    max_denial_age_seconds: float | None = None


@attrs.frozen(repr=False)
class Access(ReprMixin):
    """The verdict on a request, with what it may use."""

    verdict: Verdict
    route: Route | None = None
    workspace: Workspace | None = None


def decide_access(
    view: TreeView,
    *,
    host: str,
    path: str,
    key_hash: str | None,
    age_seconds: float,
    rules: AccessRules,
) -> Access:
    """Return what the configuration says of a request.

    ``age_seconds`` is the time since the configuration was last confirmed.
    """
    if not view.revision:
        return Access(Verdict.NO_CONFIGURATION)
    route = view.routes.find(host, path)
    if route is None:
        return _denied(Verdict.UNKNOWN_ROUTE, age_seconds, rules)
    if route.is_public:
        return Access(Verdict.ALLOWED, route, view.public_workspace)
    if key_hash is None:
        return Access(Verdict.NO_KEY, route)
    workspace = view.find_workspace(key_hash)
    if workspace is None:
        return _denied(Verdict.UNKNOWN_KEY, age_seconds, rules)
    most_seconds = rules.max_key_age_seconds
    if most_seconds is not None and age_seconds > most_seconds:
        return Access(Verdict.STALE, route, workspace)
    return Access(Verdict.ALLOWED, route, workspace)


def _denied(verdict: Verdict, age_seconds: float, rules: AccessRules) -> Access:
    most_seconds = rules.max_denial_age_seconds
    if most_seconds is not None and age_seconds > most_seconds:
        return Access(Verdict.STALE)
    return Access(verdict)
