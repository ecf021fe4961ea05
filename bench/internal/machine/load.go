// Package machine tells how busy the machine is that a benchmark runs on.
package machine

import (
	"os"
	"strconv"
	"strings"
)

// LoadAverage reads the load average over a minute, 0 where the system does not
// tell.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
