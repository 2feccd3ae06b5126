"""Exit codes of the rampwick command, for scripts."""

OK = 0
#: The operation failed for a reason that the message names.
FAILED = 1
#: The command line or the data given is invalid; nothing was done.
INVALID = 2
#: Somebody else changed the same nodes first; nothing was written.
CONFLICT = 3
#: The platform or host can't be reached; nothing was done.
UNREACHABLE = 4
#: The write may have taken effect: look before doing it again.
UNKNOWN = 5
#: The change is accepted but not in force everywhere within the wait.
NOT_EVERYWHERE = 6

DESCRIPTION = """\
exit codes:
  0 done   1 failed   2 invalid input, nothing done   3 conflict, nothing written
  4 unreachable, nothing done   5 outcome unknown   6 accepted, not yet everywhere
"""
