package play

import (
	"slices"

	"pollengauge.dev/bench/experiment/workload"
	"pollengauge.dev/config"
)

// What callers and upstreams ask for. Operations and calls have routes of their
// own, so that each kind has its profile.
const (
	requestHost = "workload.example"
	kindPrefix  = "/kind/"
	routePrefix = "/route/"
)

const highestPriority = 15

// configuration is what operators would have put in force for a workload.
func configuration(w *workload.Workload) config.Set {
	set := config.Set{
		Version:  1,
		Profiles: []config.Profile{config.NewProfile(config.DefaultProfileName, 0)},
		Limits:   config.Limits{RetryRatio: w.RetryRatio},
		AnyOrder: true,
	}
	add := func(word, prefix, name string, p config.Profile, route *workload.Route) {
		p.Name = word + "-" + name
		p.Unrepeatable = route.Unrepeatable
		p.Credit = min(route.Attempts-1, config.MaxCredit)
		p.MaxWait = p.Deadline
		p.Prefer = config.PreferGoodput
		set.Profiles = append(set.Profiles, p)
		set.Routes = append(set.Routes, config.Route{
			Name:       p.Name,
			Host:       requestHost,
			PathPrefix: prefix + name + "/",
			Shares:     []config.Share{{Service: route.Service, Weight: 1}},
			Profile:    p.Name,
		})
	}
	longest := workload.Kind{}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		longest.Deadline = max(longest.Deadline, k.Deadline)
		longest.Objective = max(longest.Objective, k.Objective)
		p := config.NewProfile("", highestPriority-k.Rank)
		p.Deadline = config.Duration(k.Deadline)
		p.Target = config.Duration(k.Objective)
		add("kind", kindPrefix, k.Name, p, w.Route(k.Route))
	}
	for _, name := range called(w) {
		p := config.NewProfile("", highestPriority)
		p.Internal = true
		p.Deadline = config.Duration(longest.Deadline)
		p.Target = config.Duration(longest.Objective)
		add("route", routePrefix, name, p, w.Route(name))
	}
	return set
}

// called are the routes that upstreams call, each once.
func called(w *workload.Workload) []string {
	var names []string
	for _, route := range w.Routes {
		for _, step := range route.Steps {
			names = append(names, step.InTurn...)
			names = append(names, step.Together...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
