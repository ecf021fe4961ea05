package experiment

import (
	"context"
	"sync"
	"time"

	"pollengauge.dev/bench/experiment/bound"
	"pollengauge.dev/bench/experiment/play"
	"pollengauge.dev/bench/experiment/workload"
)

// Config is one experiment.
type Config struct {
	// Workload is the text of the workload file.
	Workload []byte
	// Seeds is how many seeds each variant is played with, counted from 1.
	Seeds int
	// Parallel is how many plays run at once.
	Parallel int
	// Journal is the path of the finished plays, "" to keep none.
	Journal string
	// Progress is told of each play that is done, one at a time. It may be nil.
	Progress func(Progress)
}

// Progress is how far a run is.
type Progress struct {
	// Done counts the plays that are done, those of earlier runs included.
	Done, Total int
	// Last is the play that was done last; zero at the beginning.
	Last Play
}

// Run plays what is not done yet and returns the report of all that is. It
// returns both a report and a *StoppedError when ctx ends first. Other errors are
// of types *workload.Error, *JournalError and *PlayError.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	file, err := workload.Parse(cfg.Workload)
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, file: file}
	if err := r.open(); err != nil {
		return nil, err
	}
	defer r.close()
	failed := r.playAll(ctx)
	if failed != nil {
		return nil, failed
	}
	report, err := newReport(file, r.done)
	if err != nil {
		return nil, err
	}
	if total := r.total(); len(r.done) < total {
		return report, &StoppedError{Done: len(r.done), Total: total}
	}
	return report, nil
}

// run is one call of Run.
type run struct {
	cfg     Config
	file    *workload.File
	journal *journal

	mu   sync.Mutex
	done []Play
}

// task is one play to be done.
type task struct {
	variant string
	seed    uint64
}

func (r *run) open() error {
	if r.cfg.Journal == "" {
		return nil
	}
	j, plays, err := openJournal(r.cfg.Journal, r.cfg.Workload)
	if err != nil {
		return err
	}
	r.journal = j
	wanted := make(map[task]bool)
	for _, t := range r.tasks() {
		wanted[t] = true
	}
	for _, p := range plays {
		if t := (task{p.Variant, p.Seed}); wanted[t] {
			delete(wanted, t)
			r.done = append(r.done, p)
		}
	}
	return nil
}

func (r *run) close() {
	if r.journal != nil {
		r.journal.close()
	}
}

// tasks lists all plays, seed after seed, so that a run that is stopped has whole
// pairs.
func (r *run) tasks() []task {
	var tasks []task
	for seed := 1; seed <= r.cfg.Seeds; seed++ {
		for _, variant := range r.file.Variants() {
			tasks = append(tasks, task{variant: variant, seed: uint64(seed)})
		}
	}
	return tasks
}

func (r *run) total() int { return r.cfg.Seeds * len(r.file.Variants()) }

// remaining are the plays that no earlier run has done.
func (r *run) remaining() []task {
	have := make(map[task]bool)
	for _, p := range r.done {
		have[task{p.Variant, p.Seed}] = true
	}
	var left []task
	for _, t := range r.tasks() {
		if !have[t] {
			left = append(left, t)
		}
	}
	return left
}

// playAll plays what remains, until all is done, one play fails or ctx ends.
func (r *run) playAll(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.tell(Play{})
	tasks := make(chan task)
	var group sync.WaitGroup
	for range max(r.cfg.Parallel, 1) {
		group.Go(func() {
			for t := range tasks {
				if err := r.playOne(ctx, t); err != nil {
					cancel(err)
				}
			}
		})
	}
	for _, t := range r.remaining() {
		select {
		case tasks <- t:
		case <-ctx.Done():
		}
	}
	close(tasks)
	group.Wait()
	return failureOf(ctx)
}

// failureOf tells a play that failed from a run that was stopped.
func failureOf(ctx context.Context) error {
	switch cause := context.Cause(ctx).(type) {
	case *PlayError:
		return cause
	case *JournalError:
		return cause
	}
	return nil
}

// playOne plays one task and keeps it. A play that was stopped is dropped.
func (r *run) playOne(ctx context.Context, t task) error {
	stopped := func() bool { return ctx.Err() != nil }
	if stopped() {
		return nil
	}
	w, err := r.file.Workload(t.variant)
	if err != nil {
		return &PlayError{Variant: t.variant, Seed: t.seed, Cause: err}
	}
	start := time.Now()
	result, err := play.Run(w, t.seed, stopped)
	if stopped() {
		return nil
	}
	if err != nil {
		return &PlayError{Variant: t.variant, Seed: t.seed, Cause: err}
	}
	took := time.Since(start)
	most, err := bound.Most(w, play.Begins(w, t.seed))
	if err != nil {
		return &PlayError{Variant: t.variant, Seed: t.seed, Cause: err}
	}
	return r.keep(Play{Variant: t.variant, Seed: t.seed, Took: took, Bound: most, Result: result})
}

func (r *run) keep(p Play) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal != nil {
		if err := r.journal.write(p); err != nil {
			return err
		}
	}
	r.done = append(r.done, p)
	r.tell(p)
	return nil
}

// tell reports the progress. Once plays run, the lock is held.
func (r *run) tell(last Play) {
	if r.cfg.Progress != nil {
		r.cfg.Progress(Progress{Done: len(r.done), Total: r.total(), Last: last})
	}
}
