package demo

import (
	"fmt"
	"io/fs"
	"slices"
	"strconv"

	"pollengauge.dev/node"
)

// Options are the options of Run.
type Options struct {
	// Profiles holds the deployments' profiles, such as nyitottkapu.yaml.
	Profiles fs.FS
	// Deployments and Systems select by name; empty means all.
	Deployments []string
	Systems     []string
	// Seed is the random seed of arrivals, service times and clients' choices;
	// 0 means 1. The timing of the machine is not controlled, so figures still
	// vary a little with the same seed.
	Seed uint64
	// TimeScale multiplies the length of every phase; 0 means 1, with which
	// all systems and deployments run in under 90 s. Figures of a longer run
	// vary less by chance.
	TimeScale float64
	// LoadScale multiplies every rate; 0 means 1. Above 1 the capacity of the
	// upstreams, and then of the machine itself, becomes the limit.
	LoadScale float64
	// PlotDir is the directory to which two SVGs per deployment are written:
	// one of all classes and one of those shed last. "" writes none.
	PlotDir string
	// Ablate disables mechanisms of pollengauge.
	Ablate node.Ablation
}

const (
	maxTimeScale = 60
	maxLoadScale = 10
)

// check fills in defaults and returns an *OptionError for an invalid option.
func (o *Options) check() error {
	if o.Profiles == nil {
		return &OptionError{Option: "profiles", Want: "a directory with the deployments' profiles"}
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if err := checkScale("time-scale", &o.TimeScale, maxTimeScale); err != nil {
		return err
	}
	if err := checkScale("load-scale", &o.LoadScale, maxLoadScale); err != nil {
		return err
	}
	return o.checkNames()
}

// checkScale replaces 0 by 1 and returns an *OptionError unless the scale is
// above 0 and at most most.
func checkScale(name string, scale *float64, most float64) error {
	if *scale == 0 {
		*scale = 1
	}
	if *scale > 0 && *scale <= most {
		return nil
	}
	return &OptionError{
		Option: name,
		Value:  strconv.FormatFloat(*scale, 'g', -1, 64),
		Want:   "above 0, at most " + strconv.FormatFloat(most, 'g', -1, 64),
	}
}

func (o *Options) checkNames() error {
	for _, name := range o.Systems {
		if !slices.Contains(Systems(), name) {
			return &OptionError{Option: "system", Value: name, Want: "one of " + fmt.Sprintf("%q", Systems())}
		}
	}
	for _, name := range o.Deployments {
		known := func(d Deployment) bool { return d.Name == name }
		if !slices.ContainsFunc(Deployments(), known) {
			return &OptionError{Option: "deployment", Value: name, Want: "nyitottkapu or tenantwise"}
		}
	}
	return nil
}

// selects reports whether name is among the chosen names, of which none means
// all.
func selects(chosen []string, name string) bool {
	return len(chosen) == 0 || slices.Contains(chosen, name)
}
