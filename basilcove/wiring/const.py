"""Constants of the handlers between subsystems."""

from typing import Final

# A claim that takes longer is refused as not run, so that a caller behind a partition hears soon.
CLAIM_TIMEOUT_S: Final = 3.0

# Outcomes of claimed calls are proposed again for this long; the owner's silence then says the same.
RECORD_LIFETIME_S: Final = 60.0
RECORD_ATTEMPT_S: Final = 5.0

LOAD_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 1.0

CATCH_UP_TIMEOUT_S: Final = 1.0
# The client resends within this time; a question is asked anew only to bound its age.
CONFIRMATION_TIMEOUT_S: Final = 5.0
OPERATOR_TIMEOUT_S: Final = 8.0

# Engines that can't take the size that the document names would be asked again and again.
RESIZE_RETRY_S: Final = 10.0

# An operator that got no answer asks another host after about a second; a later answer still counts.
DOCUMENT_TIMEOUT_S: Final = 3.0
