package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
)

// operator writes new versions of the configuration. Each version points the probe
// route at another service than the one before.
type operator struct {
	fleet *fleet
	store *objects.Client
	// acknowledged is the number of added routes in the version that the store
	// acknowledged last.
	acknowledged atomic.Int64

	mu      sync.Mutex
	number  int
	current objects.Object
	// latest is the latest acknowledged version as it was written.
	latest []byte
	added  int
}

// Size and number of the configuration's growths. Three growths, as JSON, come close
// to the largest value that the store accepts.
const (
	growthRoutes = 1400
	mostGrowths  = 3
)

const (
	configKind = "config"
	configName = "main"
)

func newOperator(f *fleet) *operator {
	client, err := store.New(objects.Options{Endpoint: "http://" + f.storeAddr, Timeout: 2 * time.Second})
	if err != nil {
		f.fail(err)
	}
	return &operator{fleet: f, store: client}
}

// grow adds growthRoutes routes, up to mostGrowths times, and writes the next version.
func (o *operator) grow(ctx context.Context) {
	o.mu.Lock()
	o.added = min(o.added+growthRoutes, mostGrowths*growthRoutes)
	o.mu.Unlock()
	o.change(ctx)
}

// change writes the next version. A version whose acknowledgement is lost may still
// be in force, so each version is recorded as sent.
func (o *operator) change(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number++
	next := version{number: o.number, sentAt: time.Now(), probe: services[o.number%2], added: o.added}
	value, err := json.Marshal(configuration(next, o.fleet.terms))
	if err != nil {
		o.fleet.fail(err)
		return
	}
	add(o.fleet.record, &o.fleet.record.versions, next)
	if o.current.Name == "" {
		if o.current, err = o.store.Create(ctx, configKind, configName, value); err == nil {
			o.latest = value
			o.acknowledge(next)
		}
	} else {
		o.current.Value = value
		var written objects.Object
		if written, err = o.store.Update(ctx, o.current); err == nil {
			o.current, o.latest = written, value
			o.acknowledge(next)
		}
	}
	if err != nil && o.number == 1 {
		o.fleet.fail(err)
	}
	if err != nil {
		if stored, getErr := o.store.Get(ctx, configKind, configName); getErr == nil {
			o.current = stored
		}
	}
}

// acknowledge records that the store acknowledged a version.
func (o *operator) acknowledge(v version) {
	r := o.fleet.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[v.number-1].ackedAt = time.Now()
	o.acknowledged.Store(int64(v.added))
}

// addedPrefix returns the path prefix of the added route number i.
func addedPrefix(i int) string { return pathAdded + strconv.Itoa(i) + "/" }

func configuration(v version, t terms) map[string]any {
	route := func(name, prefix, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_s": routeTimeout.Seconds(), "target_latency_s": 1, "priority": priority, "attempts": routeAttempts,
		}
	}
	routes := []any{
		route("browse", pathBrowse, "safe", "web", 2),
		route("file", pathFile, "unsafe", "filing", 0),
		route("look", pathLook, "safe", "stock", 0),
		route("probe", pathProbe, "safe", v.probe, 2),
	}
	for i := range v.added {
		routes = append(routes, route("added"+strconv.Itoa(i), addedPrefix(i), "safe", "stock", 2))
	}
	return map[string]any{
		"version":  fmt.Sprintf("r%d", 3*v.number),
		"routes":   routes,
		"services": []any{map[string]any{"name": "web"}, map[string]any{"name": "filing"}, map[string]any{"name": "stock"}},
		"limits":   t.limits.customers(),
		"tenants":  tenantsConfiguration(t.vms),
	}
}

// If the grown configuration exceeded the store's size limit it would never reach
// the nodes, and the soak would check nothing about it.
func TestGrownConfigurationFitsTheStore(t *testing.T) {
	c := qt.New(t)
	value, err := json.Marshal(configuration(version{number: 1000, probe: services[0], added: mostGrowths * growthRoutes}, fleetTerms(false, len(services))))
	c.Assert(err, qt.IsNil)
	c.Check(objects.CheckValue(value), qt.IsNil)
}
