"""Reasons for refusals, as sent to callers and written to logs."""

OVER_LIMIT = "over_limit"
QUEUE_FULL = "queue_full"
DEADLINE_UNREACHABLE = "deadline_unreachable"
DEADLINE_PASSED = "deadline_passed"
UPSTREAM_FAILED = "upstream_failed"
#: This host had no room to buffer the answer.
ANSWER_TOO_LARGE = "answer_too_large"
#: The request is quarantined, because upstreams crashed while running it.
ENDS_UPSTREAMS = "ends_upstreams"
NO_UPSTREAM = "no_upstream"
#: It is not known at which software version the stream began.
UNKNOWN_SOFTWARE = "unknown_software_version"
#: No usable upstream has the software version that began the stream.
NO_SAME_VERSION = "no_same_version"
NO_RETRY_LEFT = "no_retry_left"
#: The request is isolated, and no upstream without another such request is available.
KEPT_APART = "kept_apart"
#: All upstreams limit their request rate, and the rate is used up.
AT_RATE = "upstreams_at_rate"
#: All upstreams have requested a pause.
PAUSED = "upstreams_paused"
