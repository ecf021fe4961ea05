package observe

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// ProcessUsage is the resource usage of the process.
type ProcessUsage struct {
	// CPU is the user and system time since the process started.
	CPU time.Duration
	// ResidentBytes is the current resident memory of the process.
	ResidentBytes int64
}

const (
	statmPath = "/proc/self/statm"
	// residentField is the index of the resident pages in statm.
	residentField = 1
)

// ReadProcessUsage reads the resource usage of this process. Errors are of type
// *ProcessError.
func ReadProcessUsage() (ProcessUsage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ProcessUsage{}, &ProcessError{Op: "getrusage", Err: err}
	}
	resident, err := residentBytes()
	if err != nil {
		return ProcessUsage{}, err
	}
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return ProcessUsage{CPU: cpu, ResidentBytes: resident}, nil
}

func residentBytes() (int64, error) {
	text, err := os.ReadFile(statmPath)
	if err != nil {
		return 0, &ProcessError{Op: "read " + statmPath, Err: err}
	}
	fields := bytes.Fields(text)
	if len(fields) <= residentField {
		return 0, &ProcessError{Op: "parse " + statmPath, Err: syscall.EINVAL}
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0, &ProcessError{Op: "parse " + statmPath, Err: err}
	}
	return pages * int64(os.Getpagesize()), nil
}
