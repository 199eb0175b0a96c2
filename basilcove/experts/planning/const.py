"""Constants of popularity reports and of when a group plans."""

from typing import Final

# A report of changes is about 22 KB for 58 layers of 256 experts; once a minute that is 0.4 KB/s of an
# agent's 15 KB/s.
COUNTS_INTERVAL_S: Final = 60.0
# A report waits this long for its answer, which takes two messages on links that are up.
REPORT_RESEND_S: Final = 5.0
# A report goes out again so often at most. Without a bound 7 agents would send 31 KB/s to one that lost
# its lease, for as long as the group has no other holder.
MAX_RESENDS: Final = 2
# An engine without a report for this many intervals no longer counts, and the group does not plan.
SILENT_INTERVALS: Final = 3
# Fewer selections for each expert than this differ by more than a tenth by chance, and the load of a
# rank with a dozen experts by more than the 3% that the planner leaves alone.
MIN_SELECTIONS_PER_EXPERT: Final = 100

# A plan of 2 s every 4 minutes takes 0.8% of a core of the agent's 3.2%.
PLAN_INTERVAL_S: Final = 240.0
# Above this mean skew, the target of the design, a group plans at the end of the interval.
PLAN_SKEW: Final = 1.05
# The counts are half an interval old, and a map is in use for 1 to 4 minutes. In trials with a moving
# head and a seasonal change, 90 s gave the least mean skew of 0, 30, 60, 90 and 150 s.
LEAD_S: Final = 90.0
