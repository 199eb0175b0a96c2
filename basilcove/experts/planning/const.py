"""Constants of popularity reports and of when a group plans."""

from typing import Final

# A report of changes is about 22 KB for 58 layers of 256 experts; once a minute that is 0.4 KB/s of an
# agent's 15 KB/s.
COUNTS_INTERVAL_S: Final = 60.0
# A report without an answer is sent again after this time; over established links, it takes two messages.
REPORT_RESEND_S: Final = 5.0
# Most retries of a report. Without a limit, 7 agents would send 31 KB/s to one that lost its lease, for as
# long as the group has no other holder.
MAX_RESENDS: Final = 2
# An engine without a report for this many intervals counts as silent, and the group does not plan.
SILENT_INTERVALS: Final = 3
# With fewer selections per expert, the counts vary by more than a tenth by chance, and the load of a rank
# with a dozen experts by more than the 3% that the planner tolerates.
MIN_SELECTIONS_PER_EXPERT: Final = 100

# A plan of 2 s every 4 minutes takes 0.8% of a core, out of the agent's 3.2%.
PLAN_INTERVAL_S: Final = 240.0
# Above this mean skew, the design target, a group plans at the end of each interval.
PLAN_SKEW: Final = 1.05
# Lead of the forecast: counts are half an interval old, and a map is in use for 1 to 4 minutes. With a
# moving head (the most popular experts) and with a seasonal change, 90 s gave the least mean skew of 0, 30,
# 60, 90 and 150 s.
LEAD_S: Final = 90.0
