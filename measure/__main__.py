"""Run a measurement: ``python -m measure NAME …``; without a name, all of them."""

import sys

from . import (
    blame,
    decisions,
    drain,
    herd,
    lab,
    limits,
    load,
    membership,
    partitions,
    pauses,
    placement,
    rates,
    relay,
    relay_takeover,
    restores,
    retention,
    signals,
    slopes,
    stream_versions,
)

MEASUREMENTS = {
    "blame": blame.main,
    "decisions": decisions.main,
    "drain": drain.main,
    "herd": herd.main,
    "lab": lab.main,
    "limits": limits.main,
    "placement": placement.main,
    "load": load.main,
    "membership": membership.main,
    "partitions": partitions.main,
    "pauses": pauses.main,
    "rates": rates.main,
    "relay": relay.main,
    "relay_takeover": relay_takeover.main,
    "restores": restores.main,
    "retention": retention.main,
    "signals": signals.main,
    "slopes": slopes.main,
    "stream_versions": stream_versions.main,
}


def main() -> int:
    """Run the named measurement, or all of them with default options."""
    if len(sys.argv) > 1:
        name, *argv = sys.argv[1:]
        if name not in MEASUREMENTS:
            print(f"unknown measurement {name}; known: {', '.join(MEASUREMENTS)}")
            return 2
        MEASUREMENTS[name](argv)
        return 0
    for run in MEASUREMENTS.values():
        run([])
    return 0


if __name__ == "__main__":
    sys.exit(main())
