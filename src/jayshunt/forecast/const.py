"""Define limits of the demand forecast; times are in seconds."""

# How far back arrivals are kept. Two cycles of four pools that take turns of 7 s.
HISTORY_S = 60.0
BIN_S = 0.5
# A pool has a turn while its arrivals, smoothed over SMOOTH_BINS, exceed its mean by
# this factor. In a turn a queue asks four to five times its mean.
HIGH_FACTOR = 1.5
SMOOTH_BINS = 3
# Shorter peaks are bursts of single jobs, not turns.
MIN_TURN_BINS = 3
# Fewer arrivals in the whole history carry no pattern.
MIN_ARRIVALS = 12

# Lengths and intervals agree if they differ from their median by at most this.
AGREEMENT_FRACTION = 0.1
AGREEMENT_SLACK_S = 2 * BIN_S
# One burst or outage among the last values does not end a pattern.
AGREEING_SHARE = 0.75
REMEMBERED = 8
# A forecast start counts as right if the turn began this close to it.
START_TOLERANCE_S = 1.5
# The next turn begins at most this long after the end of the last one.
MAX_GAP_S = 1.5
MIN_TURNS = 2

# Forecasts with less confidence are not used. With no forecast checked yet it is 0.5,
# after one that was wrong it is 1/3.
MIN_CONFIDENCE = 0.5
# A VM that is ordered now serves after about this time.
LEAD_S = 2.0
# A forecast turn that has not begun this long after its start is given up.
OVERDUE_S = 1.0
# The trend compares two spans of this many bins.
TREND_BINS = 2
# A rise counts as far as it exceeds this many standard errors, so that steady demand
# seems to rise in 2% of the comparisons.
TREND_STANDARD_ERRORS = 2.0
# A rise is extrapolated to at most this multiple of the present rate.
MAX_TREND_FACTOR = 3.0

# How often the forecast is computed anew.
REFRESH_S = 0.25
