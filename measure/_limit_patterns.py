"""Demand and faults of the limits lab's patterns."""

import math

import attrs

from rampwick_schema import ReprMixin


@attrs.frozen(repr=False)
class LimitPattern(ReprMixin):
    """Demand under one token limit, with changes of the limit and faults."""

    name: str
    tokens_per_second: float = 300_000.0
    burst_tokens: float = 300_000.0
    #: Allowed excess over the limit, as a ratio and in tokens.
    over_ratio: float = 0.1
    slack_tokens: float = 100_000.0
    #: Usual demand as a share of the rate, and its multiple during the burst.
    usual_ratio: float = 0.8
    hot_ratio: float = 1.0
    hot_from_seconds: float = 12.0
    hot_until_seconds: float = 22.0
    #: Share of the rate to which the limit is lowered at the start of the burst.
    lowered_ratio: float = 1.0
    #: When hosts are killed, for how long, and the share of hosts.
    killed_at_seconds: float = math.inf
    killed_seconds: float = 2.0
    killed_ratio: float = 1.0
    #: Time over which these hosts are killed one after the other; 0 means at once.
    killed_over_seconds: float = 0.0
    #: Time between the returns of the first and of the last of them.
    returned_over_seconds: float = 0.0
    #: When they are killed again.
    killed_again_at_seconds: float = math.inf
    #: When a hall is partitioned off, and how long it continues to serve.
    cut_at_seconds: float = math.inf
    cut_serves_seconds: float = 5.0
    #: Share of the rate to which the limit changes a second time, and when.
    second_change_ratio: float = 1.0
    second_change_at_seconds: float = math.inf
    #: Share of the hosts that receive limit changes late, and their delay.
    late_hosts_ratio: float = 0.0
    late_seconds: float = 0.0
    #: Multiple of the usual demand in a second burst, and its time.
    second_burst_ratio: float = 1.0
    second_burst_from_seconds: float = math.inf
    second_burst_until_seconds: float = math.inf
    #: Number of hosts that receive the demand beyond the usual one; 0 means all.
    burst_hosts_count: int = 0
    hosts_count: int = 90
    halls_count: int = 4
    length_seconds: float = 32.0


PATTERNS = (
    LimitPattern("below_the_limit"),
    LimitPattern("at_the_limit", usual_ratio=1.0),
    LimitPattern("hot_workspace", hot_ratio=4.7),
    LimitPattern("very_hot_workspace", hot_ratio=7.0),
    LimitPattern("small_limit_hot", 30_000.0, 30_000.0, hot_ratio=4.7),
    LimitPattern("limit_lowered", lowered_ratio=0.3),
    LimitPattern("limits_while_a_hall_is_cut_off", hot_ratio=4.7, cut_at_seconds=14.0),
    LimitPattern("limits_after_a_herds_return", hot_ratio=4.7, killed_at_seconds=16.0),
    LimitPattern(
        "limits_after_half_a_herds_return",
        hot_ratio=4.7,
        killed_at_seconds=16.0,
        killed_ratio=0.55,
    ),
    LimitPattern("few_hosts_hot", hot_ratio=4.7, hosts_count=8, halls_count=1),
    LimitPattern(
        "limit_changed_then_surge",
        lowered_ratio=0.5,
        second_change_ratio=0.7,
        second_change_at_seconds=20.0,
        second_burst_ratio=6.0,
        second_burst_from_seconds=23.0,
        second_burst_until_seconds=28.0,
    ),
    LimitPattern(
        "half_of_the_hosts_know_the_new_limit",
        lowered_ratio=0.5,
        late_hosts_ratio=0.5,
        late_seconds=7.0,
        hot_ratio=4.7,
    ),
    LimitPattern("surge_from_calm", usual_ratio=0.3, hot_ratio=15.0),
    LimitPattern("surge_from_calm_7", usual_ratio=0.6, hot_ratio=7.0),
    LimitPattern(
        "surge_at_one_host", usual_ratio=0.6, hot_ratio=7.0, burst_hosts_count=1
    ),
    LimitPattern(
        "surge_in_one_hall", usual_ratio=0.6, hot_ratio=7.0, burst_hosts_count=22
    ),
    LimitPattern(
        "changed_half_know_surge",
        lowered_ratio=0.5,
        hot_ratio=6.0,
        hot_until_seconds=16.0,
        second_change_ratio=0.3,
        second_change_at_seconds=22.0,
        late_hosts_ratio=0.5,
        late_seconds=7.0,
        second_burst_ratio=6.0,
        second_burst_from_seconds=25.0,
        second_burst_until_seconds=30.0,
        length_seconds=40.0,
    ),
    LimitPattern(
        "raised_half_know_surge",
        lowered_ratio=0.5,
        hot_ratio=6.0,
        hot_until_seconds=16.0,
        second_change_ratio=1.0,
        second_change_at_seconds=22.0,
        late_hosts_ratio=0.5,
        late_seconds=7.0,
        second_burst_ratio=12.0,
        second_burst_from_seconds=25.0,
        second_burst_until_seconds=30.0,
        length_seconds=40.0,
    ),
    *(
        LimitPattern(
            f"killed_{killed_at_seconds - 12.0:.0f}_s_into_a_surge_of_{hot_ratio}",
            slack_tokens=110_000.0,
            usual_ratio=1.0 / 1.8,
            hot_ratio=hot_ratio,
            hot_until_seconds=20.0,
            killed_at_seconds=killed_at_seconds,
            killed_seconds=0.3,
            killed_ratio=killed_ratio,
            hosts_count=66,
            halls_count=3,
        )
        for hot_ratio, killed_at_seconds, killed_ratio in (
            (5.1, 14.0, 1.0),
            (5.1, 17.0, 1.0),
            (7.5, 15.0, 1.0),
        )
    ),
    *(
        LimitPattern(
            f"most_killed_{killed_at_seconds - 12.0:.0f}_s_into_a_surge",
            slack_tokens=110_000.0,
            usual_ratio=1.0 / 1.8,
            hot_ratio=7.5,
            hot_until_seconds=20.0,
            killed_at_seconds=killed_at_seconds,
            killed_seconds=killed_seconds,
            killed_ratio=0.9,
            hosts_count=66,
            halls_count=3,
        )
        for killed_at_seconds, killed_seconds in ((14.0, 2.0), (15.0, 0.3))
    ),
    LimitPattern(
        "killed_in_turn_in_a_surge",
        slack_tokens=110_000.0,
        usual_ratio=1.0 / 1.8,
        hot_ratio=7.5,
        hot_until_seconds=24.0,
        killed_at_seconds=13.0,
        killed_seconds=0.3,
        killed_over_seconds=6.0,
        hosts_count=66,
        halls_count=3,
    ),
    LimitPattern(
        "killed_twice_in_a_surge",
        slack_tokens=110_000.0,
        usual_ratio=1.0 / 1.8,
        hot_ratio=7.5,
        hot_until_seconds=24.0,
        killed_at_seconds=14.0,
        killed_seconds=0.3,
        killed_again_at_seconds=17.0,
        hosts_count=66,
        halls_count=3,
    ),
    *(
        LimitPattern(
            f"killed_3_s_into_a_surge_at_{hosts_count}_hosts",
            slack_tokens=110_000.0,
            usual_ratio=1.0 / 1.8,
            hot_ratio=7.5,
            hot_until_seconds=20.0,
            killed_at_seconds=15.0,
            killed_seconds=0.3,
            hosts_count=hosts_count,
            halls_count=halls_count,
            length_seconds=26.0,
        )
        for hosts_count, halls_count in ((6, 1), (300, 6))
    ),
    *(
        LimitPattern(
            f"calm_killed_for_{killed_seconds}_s_at_{usual_ratio:.2f}",
            slack_tokens=110_000.0,
            usual_ratio=usual_ratio,
            killed_at_seconds=14.0,
            killed_seconds=killed_seconds,
            hosts_count=66,
            halls_count=3,
        )
        for usual_ratio in (1.0 / 1.8, 0.8)
        for killed_seconds in (0.3, 2.0)
    ),
    *(
        LimitPattern(
            f"calm_killed_and_back_over_{returned_over_seconds:.0f}_s_"
            f"at_{hosts_count}_hosts",
            80_000.0,
            80_000.0,
            slack_tokens=40_000.0 * hosts_count / 8,
            usual_ratio=1.0 / 1.8,
            killed_at_seconds=14.0,
            killed_seconds=0.3,
            returned_over_seconds=returned_over_seconds,
            hosts_count=hosts_count,
            halls_count=halls_count,
        )
        for hosts_count, halls_count in ((8, 1), (66, 3))
        for returned_over_seconds in (1.0, 2.0)
    ),
    *(
        LimitPattern(
            f"killed_in_a_surge_and_back_over_{returned_over_seconds:.0f}_s_"
            f"at_{hosts_count}_hosts",
            slack_tokens=110_000.0,
            usual_ratio=1.0 / 1.8,
            hot_ratio=7.5,
            hot_until_seconds=22.0,
            killed_at_seconds=15.0,
            killed_seconds=0.3,
            returned_over_seconds=returned_over_seconds,
            hosts_count=hosts_count,
            halls_count=halls_count,
        )
        for hosts_count, halls_count in ((8, 1), (66, 3))
        for returned_over_seconds in (2.0, 4.0)
    ),
)
