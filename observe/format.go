package observe

import (
	"strconv"
	"strings"
	"time"
)

// perMille formats thousandths as a percentage.
func perMille(load int) string {
	const thousandthsPerPercent = 10
	return strconv.Itoa(load/thousandthsPerPercent) + "%"
}

// shortDuration formats a duration with at most two decimals of its unit.
func shortDuration(d time.Duration) string {
	switch {
	case d <= 0:
		return "0"
	case d < time.Millisecond:
		return strconv.FormatInt(max(1, d.Microseconds()), 10) + "us"
	case d < time.Second:
		return trimFloat(float64(d)/float64(time.Millisecond)) + "ms"
	}
	return trimFloat(d.Seconds()) + "s"
}

func trimFloat(value float64) string {
	text := strconv.FormatFloat(value, 'f', 2, 64)
	text = strings.TrimRight(text, "0")
	return strings.TrimSuffix(text, ".")
}

// formatCount formats a total or a rate. Rates below 10 keep one decimal, at least
// 0.1, so that one unknown outcome in ten seconds is not shown as 0.
func formatCount(value float64) string {
	const whole = 10
	if value == 0 || value >= whole || value == float64(int64(value)) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(max(value, 0.1), 'f', 1, 64)
}
