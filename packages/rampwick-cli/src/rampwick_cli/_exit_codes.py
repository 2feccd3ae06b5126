"""Exit codes of the rampwick command, for scripts."""

OK = 0
#: The operation failed; the error message names the reason.
FAILED = 1
#: The command line or its input is invalid; nothing was done.
INVALID = 2
#: A concurrent write changed the same nodes; nothing was written.
CONFLICT = 3
#: The platform or host is unreachable; nothing was done.
UNREACHABLE = 4
#: The write may have taken effect; check before retrying.
UNKNOWN = 5
#: The change was accepted but not in force on every host within the timeout.
NOT_EVERYWHERE = 6

DESCRIPTION = """\
exit codes:
  0 done   1 failed   2 invalid input, nothing done   3 conflict, nothing written
  4 unreachable, nothing done   5 outcome unknown   6 accepted, not yet everywhere
"""
