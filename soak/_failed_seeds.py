"""Seeds that have failed, each with its cause; ``--failed`` runs them again."""

#: Cause by seed, with the default sizes of the command line.
FAILED_SEEDS = {
    1: "the HTTP client of the soak loaded certificates for each status request",
    11: "an attempt that had been given up started the response, and the next one "
    "started it again, which the server answered by closing the connection",
    115: "the scheduler stopped before the servers, so late requests got no response",
    123: "as 115",
    204: "a weights load of the stand-in engine continued after a crash; the checker "
    "guessed which weights had computed a cache entry",
    313: "an attempt of the stand-in engine began after its crash, and its failure "
    "cancelled all tasks",
    322: "a runner was drained twice at once, and the end of the first drain marked it "
    "live",
    1101: "the soak: the end of another fault disabled the crashing prompt, so it was "
    "answered and released from quarantine while its runs were still counted",
    2108: "the stand-in engine continued prefills from before a crash, and its sum of "
    "waiting tokens fell below zero: permanent status 500",
    7000: "open: a restarted host did not accept connections in time, on a loaded "
    "machine",
    7102: "open: as 7000",
    7300: "as 11",
    8208: "a host that starts against a store that was ever restored refuses "
    "idempotency keys for 4 s, but reported itself healthy",
    8212: "a runner stayed marked as leaving, although the host list of the restored "
    "store no longer said so",
    8305: "as 8208",
    8309: "the soak: a reset raced with the close of the same connection",
    8406: "open: as 7000, beside four benchmark runs and a test run",
    9331: "as 11",
    79112: "open: as 7000, at load 16 to 25",
    79207: "open: for a second no upstream answered probes of any host, and 72 of 115 "
    "requests of a herd were served; beside plays, tests and two soaks, at load 22",
    79304: "open: calls at a cut-off host took more than 1 s, as seeds 9305 to 9340",
    101306: "open: after a restore of the store a revision was accepted with a lower "
    "number than the one in force, which all hosts kept, at load 18",
    101310: "open: as 79207, at load 20",
    9200: "an answer that the service had cut was ended with the text of an error, and "
    "its framing was complete",
}
