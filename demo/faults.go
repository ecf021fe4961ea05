package demo

import (
	"context"
	"strconv"
	"time"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/report"
	"pollengauge.dev/node"
	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

const (
	// inForceBound and leaveBound define "within seconds" in the promises
	// claimInForce and claimLeaving.
	inForceBound = 3 * time.Second
	leaveBound   = 3 * time.Second
	// directoryLag is how long clients continue to use an edge that is gone,
	// as they do with a name service.
	directoryLag = 300 * time.Millisecond
	versionPoll  = 20 * time.Millisecond
)

const (
	claimInForce  = "an accepted configuration is in force everywhere within seconds"
	claimNoRevert = "a configuration never reverts to an older one"
	claimLeaving  = "a leaving upstream gets no new work within seconds"
	claimDrain    = "a graceful shutdown cuts off no request in flight"
)

// edit exchanges the priorities of two profiles during the surge and measures
// how long it takes until the change is in force on every node.
func (s *runState) edit(ctx context.Context) {
	started := time.Now()
	version, err := s.nodes.change(ctx, s.deployment.Edit)
	if err != nil {
		s.promise(report.NewPromise(claimInForce, false, err.Error()))
		return
	}
	s.promise(s.awaitVersion(ctx, version, started))
}

// awaitVersion waits until every node has at least the given configuration
// version, for at most inForceBound after started, and returns the promise
// claimInForce.
func (s *runState) awaitVersion(ctx context.Context, version uint64, started time.Time) report.Promise {
	for ctx.Err() == nil && time.Since(started) < inForceBound {
		outdated := 0
		versions := s.nodes.versions()
		for _, v := range versions {
			if v < version {
				outdated++
			}
		}
		if outdated == 0 {
			took := strconv.FormatInt(time.Since(started).Milliseconds(), 10)
			return report.NewPromise(claimInForce, true, "version "+strconv.FormatUint(version, 10)+" on "+strconv.Itoa(len(versions))+" nodes after "+took+" ms")
		}
		objects.Pause(ctx, versionPoll)
	}
	return report.NewPromise(claimInForce, false, "not on every node after "+inForceBound.String())
}

// watchVersions counts the times at which a node's configuration reverts to an
// older version. When ctx ends, it adds the promise claimNoRevert.
func (s *runState) watchVersions(ctx context.Context) {
	seen := map[*node.Node]uint64{}
	reverted := 0
	for ctx.Err() == nil {
		for running, version := range s.nodes.versions() {
			if version < seen[running] {
				reverted++
			}
			seen[running] = version
		}
		objects.Pause(ctx, versionPoll)
	}
	s.promise(report.NewPromise(claimNoRevert, reverted == 0, strconv.Itoa(reverted)+" reversions seen"))
}

func (s *runState) platformDown(context.Context) {
	s.nodes.platform.SetFaults(standin.Faults{Down: true})
}

func (s *runState) platformBack(context.Context) {
	s.nodes.platform.SetFaults(standin.Faults{})
}

// drainSpan is the time span in which a VM was drained, and the VM's edge.
type drainSpan struct {
	edge       string
	start, end time.Duration
}

// restart drains a VM, shuts it down and boots a replacement. The drain has its
// own timeout and continues after the end of the load: if it were cancelled
// then, a slow drain would be reported as a failed one.
func (s *runState) restart(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	old := s.fleet.find(s.deployment.Restarted, 0)
	leaving := s.nodes.node(old)
	edge := leaving.Addr("edge")
	began := time.Now()
	s.drained = drainSpan{edge: edge, start: time.Since(s.start)}
	leaving.SetDraining(true)
	s.nodes.edgeList.remove(old.service.Name, edge)
	objects.Pause(ctx, directoryLag)
	err := leaving.Drain(ctx)
	s.drained.end = time.Since(s.start)
	s.nodes.removeNode(old)
	left := old.upstream.InFlight()
	s.promise(s.leavingPromise(old, began))
	took := s.drained.end - s.drained.start
	detail := strconv.Itoa(left) + " requests in flight when the VM was shut down, " + strconv.FormatInt(took.Milliseconds(), 10) + " ms after the drain began"
	if err != nil {
		detail += ", drain: " + err.Error()
	}
	s.promise(report.NewPromise(claimDrain, err == nil && left == 0, detail))
	old.upstream.Close()
	s.replace(ctx, old)
}

func (s *runState) leavingPromise(old *vm, began time.Time) report.Promise {
	last := old.upstream.LastArrival().Sub(began)
	detail := "last new work " + strconv.FormatInt(max(0, last.Milliseconds()), 10) + " ms after the drain began"
	return report.NewPromise(claimLeaving, last <= leaveBound, detail)
}

// replace boots a replacement for the VM old, which was shut down.
func (s *runState) replace(ctx context.Context, old *vm) {
	fresh, err := s.fleet.boot(old.service, old.replica)
	if err == nil {
		err = s.nodes.attach(ctx, fresh)
	}
	if err != nil {
		s.note("replacing the VM of " + old.service.Name + " failed: " + err.Error())
	}
}

// kill stops a VM and its node without warning. Clients continue to use its edge
// for directoryLag.
func (s *runState) kill(ctx context.Context) {
	lost := s.fleet.find(s.deployment.Killed, 1)
	running := s.nodes.removeNode(lost)
	edge := running.Addr("edge")
	lost.upstream.Close()
	running.Close()
	objects.Pause(ctx, directoryLag)
	s.nodes.edgeList.remove(lost.service.Name, edge)
}

// countCutOff counts the attempts at the drained VM's edge that ended without an
// answer during the drain although the client had not timed out.
func (s *runState) countCutOff(records []load.Record) int {
	count := 0
	for _, r := range records {
		timeout := s.deployment.Classes[r.Class].Timeout
		for _, t := range r.Tries {
			during := t.Answered >= s.drained.start && t.Sent <= s.drained.end
			if t.Addr == s.drained.edge && during && t.Status == 0 && t.Answered-t.Sent < timeout {
				count++
			}
		}
	}
	return count
}
