"""Constants of the handlers between subsystems."""

from typing import Final

# A claim that takes longer is refused as not run, so that a caller in a partition gets an answer soon.
CLAIM_TIMEOUT_S: Final = 3.0

# Recording the outcome of a claimed call is retried for this long; then it stays unknown, as if its owner
# were lost.
RECORD_LIFETIME_S: Final = 60.0
RECORD_ATTEMPT_S: Final = 5.0

LOAD_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 1.0

CATCH_UP_TIMEOUT_S: Final = 1.0
# The catalog client retries within this time; a new query is sent only to bound the age of the old one.
CONFIRMATION_TIMEOUT_S: Final = 5.0
OPERATOR_TIMEOUT_S: Final = 8.0

# Without this interval, engines that can't take the size in the document would get requests all the time.
RESIZE_RETRY_S: Final = 10.0

# An acknowledgement takes two round trips and a sync; an operator that gets 503 asks again or another host.
ZONE_TIMEOUT_S: Final = 1.0

# An operator that gets no answer asks another host after about a second; a later answer is still valid.
DOCUMENT_TIMEOUT_S: Final = 3.0
