package demo

import (
	"io/fs"
	"time"

	"pollengauge.dev/config"
	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/upstream"
)

// Service is one service of a deployment in its full size, before scaling.
type Service struct {
	Name        string
	Replicas    int
	Slots       int
	Connections int
}

// Deployment defines one user's system.
type Deployment struct {
	Name   string
	Region string
	Zones  []string
	// ZoneDelay is the one-way network delay between two availability zones,
	// and ClientDelay that between clients and the system.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	// ConnectDelay is the additional delay of opening a connection.
	ConnectDelay time.Duration
	Services     []Service
	// Scale divides slots and connections, so that the deployment fits on one
	// machine.
	Scale   int
	Graph   upstream.Graph
	Classes []load.Class
	// ProfilesFile is the name of the file with the deployment's profiles.
	ProfilesFile string
	// Deep is the name of the bottleneck service, which the others call.
	Deep string
	// Edit is the change of profiles during the surge.
	Edit Edit
	// Restarted is the service of which a VM is drained and replaced, and
	// Killed the service of which a VM is lost.
	Restarted, Killed string
}

// Edit is a change of profiles made during the surge.
type Edit struct {
	// Lifted and Lowered are the profiles that exchange their priorities.
	Lifted, Lowered string
	// LiftedClass and LoweredClass are the classes that show the effect.
	LiftedClass, LoweredClass string
}

// apply returns set with the two priorities exchanged.
func (e Edit) apply(set config.Set) (config.Set, error) {
	profiles := append([]config.Profile(nil), set.Profiles...)
	lifted, lowered := -1, -1
	for i, p := range profiles {
		switch p.Name {
		case e.Lifted:
			lifted = i
		case e.Lowered:
			lowered = i
		}
	}
	if lifted < 0 || lowered < 0 {
		return config.Set{}, &EditError{Edit: e}
	}
	profiles[lifted].Priority, profiles[lowered].Priority = profiles[lowered].Priority, profiles[lifted].Priority
	set.Profiles = profiles
	return set, nil
}

// profiles reads the deployment's set of profiles from files.
func (d *Deployment) profiles(files fs.FS) (config.Set, error) {
	data, err := fs.ReadFile(files, d.ProfilesFile)
	if err != nil {
		return config.Set{}, &ProfilesError{Deployment: d.Name, File: d.ProfilesFile, Err: err}
	}
	set, err := config.Parse(data, config.YAML)
	if err != nil {
		return config.Set{}, &ProfilesError{Deployment: d.Name, File: d.ProfilesFile, Err: err}
	}
	return set, nil
}

// slots returns the number of workers of one upstream at the deployment's scale.
func (d *Deployment) slots(s Service) int { return max(1, s.Slots/d.Scale) }

func (d *Deployment) connections(s Service) int { return max(1, s.Connections/d.Scale) }

// deepSlots returns the total number of workers of the bottleneck service.
func (d *Deployment) deepSlots() int {
	for _, s := range d.Services {
		if s.Name == d.Deep {
			return s.Replicas * d.slots(s)
		}
	}
	return 0
}

// zone returns the zone of a replica. Replicas are assigned to zones in rotation.
func (d *Deployment) zone(replica int) string { return d.Zones[replica%len(d.Zones)] }

// classIndex returns the index of the class with the given name, or -1.
func (d *Deployment) classIndex(name string) int {
	for i, class := range d.Classes {
		if class.Name == name {
			return i
		}
	}
	return -1
}

// Deployments returns the deployments of the current users, scaled to fit on one
// machine.
func Deployments() []Deployment { return []Deployment{nyitottkapu(), tenantwise()} }

// The following functions build steps and routes. A read makes its downstream
// calls and then does its own work. A write first makes its checks, then does
// its own work and calls the notified service last, so that a request that is
// refused at its first check has had no effect.

func work(median time.Duration) upstream.Step {
	return upstream.Step{Work: upstream.Distribution{Median: median, Sigma: workSpread}}
}

// workSpread is the Sigma of all service times.
const workSpread = 0.4

func calls(targets ...upstream.Call) upstream.Step { return upstream.Step{Calls: targets} }

func leaf(median time.Duration) upstream.Route {
	return upstream.Route{Steps: []upstream.Step{work(median)}}
}

func onceLeaf(median time.Duration) upstream.Route {
	return upstream.Route{Once: true, Steps: []upstream.Step{work(median)}}
}

func read(median time.Duration, downstream ...upstream.Call) upstream.Route {
	return upstream.Route{Steps: []upstream.Step{calls(downstream...), work(median)}}
}

// write returns a route that makes its checks one after the other. If the
// second check is refused, the upstream reports not-run although its first
// check has run. Many real upstreams make this mistake, so the upstream's node
// must not rely on the reported outcome.
func write(median time.Duration, notified upstream.Call, checks ...upstream.Call) upstream.Route {
	var steps []upstream.Step
	for _, check := range checks {
		steps = append(steps, calls(check))
	}
	return upstream.Route{Once: true, Steps: append(steps, work(median), calls(notified))}
}
