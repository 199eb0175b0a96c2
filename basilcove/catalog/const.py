"""Constants of the replicated state machine and its client."""

from typing import Final

KIBIBYTE: Final = 1024
MAX_ANSWER_BYTES: Final = 16 * KIBIBYTE
# Limit on all stored answer bodies of one environment; beyond it claims are completed without a body.
MAX_TOTAL_ANSWER_BYTES: Final = 16 * KIBIBYTE * KIBIBYTE
MAX_LEASES: Final = 4096
MAX_MAPS: Final = 4096
# A released claim lists the newest attempts that released it, so that late claims of theirs fail.
MAX_FORMER_ATTEMPTS: Final = 16

# A command is refused once its age exceeds its lifetime, and first answers are retained for three
# lifetimes, so that a late duplicate is not applied again even if clocks differ by a lifetime.
COMMAND_LIFETIME_S: Final = 60.0
PROPOSAL_RETENTION_S: Final = 180.0
MAX_PROPOSALS: Final = 50_000
REQUEST_RETENTION_S: Final = 86_400.0
MAX_REQUESTS: Final = 50_000
LEASE_RETENTION_S: Final = 3600.0
MAX_LEASE_S: Final = 600.0

RESEND_INTERVAL_S: Final = 0.6
RETRY_INTERVAL_S: Final = 0.15
ATTEMPT_RETENTION_S: Final = 180.0
MAX_PENDING_OPERATIONS: Final = 10_000
