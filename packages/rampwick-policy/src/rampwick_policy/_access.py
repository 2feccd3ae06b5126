"""Access decisions for requests, by the current configuration and its age.

A host that can't confirm its configuration may miss that a key was revoked. Therefore
a request with a key requires a recently confirmed configuration, and a route or key is
not rejected as unknown if the configuration may be outdated.
"""

import enum

import attrs

from rampwick_schema import ReprMixin, Route

from ._tree import TreeView, Workspace


class Verdict(enum.Enum):
    """Result of an access decision."""

    ALLOWED = "allowed"
    #: No configuration has been loaded yet.
    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    #: The route or key is known, but its part of the configuration can't be served.
    UNUSABLE = "unusable_configuration"
    #: The configuration is too old to decide.
    STALE = "stale_configuration"


@attrs.frozen(repr=False)
class AccessRules(ReprMixin):
    """Maximum ages of a configuration, counted from its last confirmation."""

    #: Age up to which keys are accepted; ``None`` sets no bound.
    max_key_age_seconds: float | None = None
    #: Age up to which a request with an unknown route or key is rejected as such;
    #: ``None`` sets no bound.
    max_denial_age_seconds: float | None = None


@attrs.frozen(repr=False)
class Access(ReprMixin):
    """The verdict on a request, with its route and workspace if they are known."""

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
    """Return whether a request is allowed by the configuration.

    ``age_seconds`` is the time since the configuration was last confirmed.
    """
    if not view.revision:
        return Access(Verdict.NO_CONFIGURATION)
    route = view.routes.find(host, path)
    if route is None:
        return _denied(Verdict.UNKNOWN_ROUTE, age_seconds, rules)
    if not route.targets:
        return _denied(Verdict.UNUSABLE, age_seconds, rules)
    if route.is_public:
        return Access(Verdict.ALLOWED, route, view.public_workspace)
    if key_hash is None:
        return Access(Verdict.NO_KEY, route)
    workspace = view.find_workspace(key_hash)
    if workspace is None:
        if view.is_unusable_key(key_hash):
            return _denied(Verdict.UNUSABLE, age_seconds, rules)
        return _denied(Verdict.UNKNOWN_KEY, age_seconds, rules)
    max_age_seconds = rules.max_key_age_seconds
    if max_age_seconds is not None and age_seconds > max_age_seconds:
        return Access(Verdict.STALE, route, workspace)
    return Access(Verdict.ALLOWED, route, workspace)


def _denied(verdict: Verdict, age_seconds: float, rules: AccessRules) -> Access:
    max_age_seconds = rules.max_denial_age_seconds
    if max_age_seconds is not None and age_seconds > max_age_seconds:
        return Access(Verdict.STALE)
    return Access(verdict)
