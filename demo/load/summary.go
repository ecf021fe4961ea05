package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary holds the totals of one class. Every offered operation is counted
// under exactly one result.
type Summary struct {
	Class     string
	Offered   int
	Results   [len(resultNames)]int
	Retries   int
	Crossed   int
	Truncated int
	// P50 and P99 are latency percentiles of the operations with result Whole,
	// measured from the planned start.
	P50, P99 time.Duration
}

const (
	longestLatency   = 10 * time.Minute
	histogramDigits  = 3
	medianPercentile = 50
	tailPercentile   = 99
)

// Summarize returns the summary of each class, in the order of classes.
func Summarize(classes []Class, records []Record) []Summary {
	summaries := make([]Summary, len(classes))
	histograms := make([]*hdrhistogram.Histogram, len(classes))
	for i, class := range classes {
		summaries[i].Class = class.Name
		histograms[i] = newHistogram()
	}
	for _, r := range records {
		summaries[r.Class].add(r)
		if r.Result == Whole {
			_ = histograms[r.Class].RecordValue(r.Latency.Microseconds())
		}
	}
	for i, h := range histograms {
		summaries[i].P50 = percentile(h, medianPercentile)
		summaries[i].P99 = percentile(h, tailPercentile)
	}
	return summaries
}

func (s *Summary) add(r Record) {
	s.Offered++
	s.Results[r.Result]++
	s.Retries += max(0, len(r.Tries)-1)
	for _, try := range r.Tries {
		if try.Crossed {
			s.Crossed++
		}
		if try.Truncated {
			s.Truncated++
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), histogramDigits)
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}
