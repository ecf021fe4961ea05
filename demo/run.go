package demo

import (
	"context"
	"io"
	"slices"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
)

// The systems that Run compares.
const (
	SystemPollengauge = "pollengauge"
	SystemPlain       = "plain"
	SystemStatic      = "static limit"
	SystemAIMD        = "AIMD limit"
)

// Systems returns the names of the systems in the order in which they run.
func Systems() []string {
	return []string{SystemPollengauge, SystemPlain, SystemStatic, SystemAIMD}
}

// Result is the result of Run.
type Result struct {
	Runs []*report.Run
	// Broken is the number of promises that pollengauge violated. The other
	// systems make no promises: their violations are reported but not counted.
	Broken  int
	Elapsed time.Duration
}

// Run runs the selected deployments on the selected systems and writes a report
// of each run to out. It returns an error if a run or a report could not be
// completed. Broken promises are not errors; they are counted in the result.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	start := time.Now()
	if err := o.check(); err != nil {
		return Result{}, err
	}
	var result Result
	for _, d := range Deployments() {
		if !selects(o.Deployments, d.Name) {
			continue
		}
		runs, err := runDeployment(ctx, o, &d, out)
		result.Runs = append(result.Runs, runs...)
		if err != nil {
			result.Elapsed = time.Since(start)
			return result, err
		}
	}
	for _, r := range result.Runs {
		if r.System == SystemPollengauge {
			result.Broken += r.Broken()
		}
	}
	result.Elapsed = time.Since(start)
	return result, nil
}

func runDeployment(ctx context.Context, o Options, d *Deployment, out io.Writer) ([]*report.Run, error) {
	if err := d.Graph.Validate(); err != nil {
		return nil, err
	}
	set, err := d.profiles(o.Profiles)
	if err != nil {
		return nil, err
	}
	for i := range d.Classes {
		d.Classes[i].Rate *= o.LoadScale
	}
	if err := writeHeader(out, o, d); err != nil {
		return nil, err
	}
	var runs []*report.Run
	for _, name := range Systems() {
		if !selects(o.Systems, name) {
			continue
		}
		run, err := runSystem(ctx, o, d, name, set)
		if err != nil {
			return runs, err
		}
		runs = append(runs, run)
		if err := writeReport(out, run); err != nil {
			return runs, err
		}
	}
	return runs, writePlots(o, d, runs)
}

// inFlightBound is the maximum number of operations in flight. It protects the
// machine if a system leaves the load unanswered.
const inFlightBound = 20_000

// settleTime is how long operations that are in flight at the end of the load
// may continue.
const settleTime = time.Second

// runSystem starts one system, runs the load against it and measures it.
func runSystem(ctx context.Context, o Options, d *Deployment, name string, set config.Set) (*report.Run, error) {
	f := newFleet(d, o.Seed)
	defer f.close()
	system, events, length, err := buildSystem(ctx, o, d, name, set)
	if err != nil {
		return nil, err
	}
	defer system.close()
	if err := f.start(ctx, system); err != nil {
		return nil, err
	}
	s := &runState{deployment: d, schedule: schedule{o.TimeScale}, fleet: f}
	s.nodes, _ = system.(*nodeFabric)
	plan := load.Plan(d.Classes, s.schedule.phases(), s.schedule.at(fullLength), o.Seed)
	records := s.drive(ctx, system, arrivalsBefore(plan, s.schedule.at(length)), events, s.schedule.at(length))
	run := &report.Run{
		System:     name,
		Deployment: d.Name,
		Timeline:   s.schedule.timeline(length),
		Marks:      s.marks,
		Evidence: report.Evidence{
			Classes: d.Classes, Records: records, Ledger: f.ledger, Graph: d.Graph,
			Start: s.start, Deep: d.Deep, DeepSlots: d.deepSlots(),
		},
	}
	run.Measure()
	s.addPromises(run, set)
	return run, nil
}

func buildSystem(ctx context.Context, o Options, d *Deployment, name string, set config.Set) (fabric, []event, time.Duration, error) {
	limits := map[string]limiterFactory{SystemPlain: noLimit, SystemStatic: staticLimit, SystemAIMD: aimdLimit}
	if limiter, ok := limits[name]; ok {
		return newPlainFabric(d, limiter), commonEvents, settledAt, nil
	}
	nodes, err := newNodeFabric(ctx, d, set, o.Ablate)
	if err != nil {
		return nil, nil, 0, err
	}
	return nodes, slices.Concat(commonEvents, nodeEvents), fullLength, nil
}

// arrivalsBefore returns the arrivals of plan before length.
func arrivalsBefore(plan []load.Arrival, length time.Duration) []load.Arrival {
	end := slices.IndexFunc(plan, func(a load.Arrival) bool { return a.At >= length })
	if end < 0 {
		return plan
	}
	return plan[:end]
}

// drive sends the load and runs the events at the same time.
func (s *runState) drive(ctx context.Context, system fabric, plan []load.Arrival, events []event, length time.Duration) []load.Record {
	ctx, cancel := context.WithTimeout(ctx, length+settleTime)
	defer cancel()
	runner := &load.Runner{
		Classes:     s.deployment.Classes,
		Edges:       system.edges,
		MintPath:    system.mintPath(),
		Delay:       s.deployment.ClientDelay,
		MaxInFlight: inFlightBound,
	}
	watching, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	s.start = time.Now()
	played := make(chan struct{})
	go func() {
		defer close(played)
		s.runEvents(ctx, events)
	}()
	go func() {
		defer close(watched)
		if s.nodes != nil {
			s.watchVersions(watching)
		}
	}()
	records := runner.Run(ctx, plan)
	<-played
	stop()
	<-watched
	return records
}
