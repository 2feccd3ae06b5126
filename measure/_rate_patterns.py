"""Fleets and request rate limits of upstreams for the rate lab."""

import attrs


@attrs.frozen
class RatePattern:
    """Sizes and faults of a run."""

    name: str
    hosts_count: int
    halls_count: int
    upstreams_count: int
    requests_per_second: float
    #: Number of upstreams with a rate limit, and the rate from each time on; None
    #: removes the limit.
    limited_count: int
    rates: tuple[tuple[float, float | None], ...]
    #: Share of the requests that prefer the first upstream.
    hot_ratio: float = 0.0
    #: Delay until the other hosts receive a broadcast.
    broadcast_delay_seconds: float = 0.03
    #: Start and end of a partition between a hall and the others.
    cut_seconds: tuple[float, float] | None = None
    #: When half of the hosts restart without state.
    restart_seconds: float | None = None
    length_seconds: float = 30.0


def _patterns() -> tuple[RatePattern, ...]:
    small = RatePattern("6 hosts, 1 of 5 at 1.8", 6, 4, 5, 32.0, 1, ((4.0, 1.8),))
    large = attrs.evolve(
        small,
        name="90 hosts, 1 of 45 at 1.8",
        hosts_count=90,
        upstreams_count=45,
        requests_per_second=368.0,
        broadcast_delay_seconds=0.12,
    )
    huge = attrs.evolve(
        large,
        name="300 hosts, 1 of 60 at 1.8",
        hosts_count=300,
        halls_count=6,
        upstreams_count=60,
        requests_per_second=900.0,
    )
    changing = ((4.0, 50.0), (10.0, 1.8), (18.0, 0.2), (24.0, 20.0))
    return (
        small,
        attrs.evolve(
            small, name="the same, 2 at 0.2", limited_count=2, rates=((4.0, 0.2),)
        ),
        attrs.evolve(small, name="the same, all at 1.8", limited_count=5),
        attrs.evolve(
            small, name="the same, 50, 1.8, 0.2, 20", rates=changing, hot_ratio=0.5
        ),
        attrs.evolve(small, name="the same, a hall cut off", cut_seconds=(10.0, 20.0)),
        attrs.evolve(small, name="the same, half restart", restart_seconds=12.0),
        large,
        attrs.evolve(large, name="the same, half of all go there", hot_ratio=0.5),
        attrs.evolve(
            large, name="the same, 2 at 0.2", limited_count=2, rates=((4.0, 0.2),)
        ),
        attrs.evolve(large, name="the same, all at 1.8", limited_count=45),
        attrs.evolve(
            large, name="the same, 50, 1.8, 0.2, 20", rates=changing, hot_ratio=0.5
        ),
        attrs.evolve(large, name="the same, a hall cut off", cut_seconds=(10.0, 20.0)),
        attrs.evolve(large, name="the same, half restart", restart_seconds=12.0),
        huge,
        attrs.evolve(huge, name="the same, half of all go there", hot_ratio=0.5),
    )


PATTERNS = _patterns()
