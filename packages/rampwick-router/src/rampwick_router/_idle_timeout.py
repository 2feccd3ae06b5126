"""How long callers' connections may stay idle by the configuration."""

from collections.abc import Callable

from rampwick_policy import IdleBounds

from .control import ConfigurationTask


class CallerIdleTimeout:
    """Follows the idle timeout in the configuration."""

    def __init__(
        self, configuration: ConfigurationTask, read_clock: Callable[[], float]
    ) -> None:
        self._configuration = configuration
        self._read_clock = read_clock
        self._bounds = IdleBounds()
        self._note_bound()
        configuration.on_in_force = self._note_bound

    def max_seconds(self, idle_seconds: float) -> float:
        """Return the timeout of a connection that has been idle for some seconds."""
        now_seconds = self._read_clock()
        return self._bounds.max_idle_seconds(
            now_seconds - idle_seconds, self._configuration.age_seconds(now_seconds)
        )

    def _note_bound(self) -> None:
        """Record the bound in force.

        The head of a request that arrives slowly is not told from an idle connection.
        """
        limits = self._configuration.follower.view.routes.routing.caller_limits
        bound_seconds = max(limits.idle_timeout_seconds, limits.body_timeout_seconds)
        self._bounds.note(bound_seconds, self._read_clock())
