package demo

import (
	"net/http"
	"time"

	"pollengauge.dev/demo/load"
	"pollengauge.dev/demo/upstream"
)

// scale divides the slots and connections of both deployments, because one
// process runs the complete fleet and its clients.
const scale = 10

// deepWork is the median service time of the bottleneck services. With a tenth
// of the slots it limits them to about 550 calls per second.
const deepWork = 20 * time.Millisecond

// The rates of the classes load the bottleneck services to about 57 % of their
// capacity outside a surge and to 1.7 times their capacity during it. Reads
// outnumber writes by about seven to one. The writes alone stay within the
// capacity of the bottleneck service at all times.

// Hard clients retry immediately; patient clients honour Retry-After.
var (
	hard    = load.Retrying{Tries: 4, Hard: true}
	patient = load.Retrying{Tries: 4, Backoff: 200 * time.Millisecond}
)

func nyitottkapu() Deployment {
	const directory, filing, billing, tracker = "directory", "filing", "billing", "tracker"
	return Deployment{
		Name:         "nyitottkapu",
		Region:       "hu-central",
		Zones:        []string{"hu-central-1", "hu-central-2", "hu-central-3"},
		ZoneDelay:    500 * time.Microsecond,
		ClientDelay:  time.Millisecond,
		ConnectDelay: time.Millisecond,
		Scale:        scale,
		Services: []Service{
			{Name: directory, Replicas: 3, Slots: 300, Connections: 1900},
			{Name: filing, Replicas: 3, Slots: 300, Connections: 1900},
			{Name: billing, Replicas: 3, Slots: 300, Connections: 1900},
			{Name: tracker, Replicas: 3, Slots: 40, Connections: 350},
		},
		Graph: upstream.Graph{
			directory: {
				"bodies": read(5*time.Millisecond, upstream.Call{Service: filing, Route: "counts"}),
				"lookup": read(3*time.Millisecond, upstream.Call{Service: tracker, Route: "lookup"}),
			},
			filing: {
				"counts":    read(2*time.Millisecond, upstream.Call{Service: tracker, Route: "lookup"}),
				"cases":     read(4*time.Millisecond, upstream.Call{Service: tracker, Route: "history"}),
				"fees":      read(3*time.Millisecond, upstream.Call{Service: directory, Route: "lookup"}),
				"filings":   write(8*time.Millisecond, upstream.Call{Service: tracker, Route: "register"}, upstream.Call{Service: directory, Route: "lookup"}),
				"reminders": write(6*time.Millisecond, upstream.Call{Service: tracker, Route: "note"}, upstream.Call{Service: tracker, Route: "history"}, upstream.Call{Service: directory, Route: "lookup"}),
			},
			billing: {
				"payments": write(10*time.Millisecond, upstream.Call{Service: tracker, Route: "paid"}, upstream.Call{Service: filing, Route: "fees"}),
			},
			tracker: {
				"lookup":   leaf(deepWork),
				"history":  leaf(deepWork),
				"register": onceLeaf(deepWork),
				"note":     onceLeaf(deepWork),
				"paid":     onceLeaf(deepWork),
			},
		},
		Classes: []load.Class{
			reads("browsing", "browse", directory, "bodies", 115, load.ShedFirst),
			reads("tracking", "track", filing, "cases", 110, load.ShedFirst),
			reads("lookups", "lookup", directory, "lookup", 20, load.ShedFree),
			writes("filing", "filing", filing, "filings", 15, load.MintedKey),
			writes("reminder", "reminder", filing, "reminders", 8, load.MintedKey),
			writes("payment", "payment", billing, "payments", 10, load.MintedKey),
		},
		ProfilesFile: "nyitottkapu.yaml",
		Deep:         tracker,
		Edit:         Edit{Lifted: "browse", Lowered: "track", LiftedClass: "browsing", LoweredClass: "tracking"},
		Restarted:    filing,
		Killed:       directory,
	}
}

func tenantwise() Deployment {
	const portal, dispatch, van, registry = "customer-portal", "dispatch", "van-app", "property-registry"
	return Deployment{
		Name:         "tenantwise",
		Region:       "us-northeast",
		Zones:        []string{"us-northeast-1", "us-northeast-2", "us-northeast-3"},
		ZoneDelay:    time.Millisecond,
		ClientDelay:  3 * time.Millisecond,
		ConnectDelay: time.Millisecond,
		Scale:        scale,
		Services: []Service{
			{Name: portal, Replicas: 3, Slots: 160, Connections: 1100},
			{Name: dispatch, Replicas: 3, Slots: 160, Connections: 1100},
			{Name: van, Replicas: 3, Slots: 160, Connections: 1100},
			{Name: registry, Replicas: 3, Slots: 40, Connections: 330},
		},
		Graph: upstream.Graph{
			portal: {
				"status":  read(4*time.Millisecond, upstream.Call{Service: dispatch, Route: "status"}),
				"reports": write(6*time.Millisecond, upstream.Call{Service: registry, Route: "record"}, upstream.Call{Service: dispatch, Route: "triage"}, upstream.Call{Service: registry, Route: "access"}),
			},
			dispatch: {
				"status":   read(3*time.Millisecond, upstream.Call{Service: registry, Route: "unit"}),
				"triage":   read(3*time.Millisecond, upstream.Call{Service: registry, Route: "unit"}),
				"jobs":     read(3*time.Millisecond, upstream.Call{Service: registry, Route: "unit"}),
				"bookings": write(8*time.Millisecond, upstream.Call{Service: van, Route: "assign"}, upstream.Call{Service: van, Route: "availability"}),
			},
			van: {
				"availability": read(3*time.Millisecond, upstream.Call{Service: registry, Route: "access"}),
				"assign": {Once: true, Steps: []upstream.Step{
					work(4 * time.Millisecond), calls(upstream.Call{Service: registry, Route: "note"}),
				}},
				"closures": write(6*time.Millisecond, upstream.Call{Service: registry, Route: "close"}, upstream.Call{Service: dispatch, Route: "jobs"}),
			},
			registry: {
				"unit":   leaf(deepWork),
				"access": leaf(deepWork),
				"record": onceLeaf(deepWork),
				"note":   onceLeaf(deepWork),
				"close":  onceLeaf(deepWork),
			},
		},
		Classes: []load.Class{
			reads("status", "status", portal, "status", 150, load.ShedFirst),
			reads("browsing", "browse", dispatch, "jobs", 75, load.ShedFirst),
			reads("lookups", "lookup", registry, "unit", 20, load.ShedFree),
			writes("report-leak", "report", portal, "reports", 12, load.MintedKey),
			writes("booking", "booking", dispatch, "bookings", 14, load.OwnKey),
			writes("closure", "closure", van, "closures", 10, load.MintedKey),
		},
		ProfilesFile: "tenantwise.yaml",
		Deep:         registry,
		Edit:         Edit{Lifted: "browse", Lowered: "status", LiftedClass: "browsing", LoweredClass: "status"},
		Restarted:    dispatch,
		Killed:       portal,
	}
}

// reads returns a class of repeatable requests whose clients retry immediately.
func reads(name, profile, service, route string, rate float64, shed load.ShedOrder) load.Class {
	return load.Class{
		Name: name, Profile: profile, Target: upstream.Call{Service: service, Route: route},
		Method: http.MethodGet, Rate: rate, Retry: hard, Timeout: 2 * time.Second, Shed: shed,
	}
}

// writes returns a class of unrepeatable requests whose clients honour
// Retry-After.
func writes(name, profile, service, route string, rate float64, key load.Keying) load.Class {
	return load.Class{
		Name: name, Profile: profile, Target: upstream.Call{Service: service, Route: route},
		Method: http.MethodPost, Rate: rate, Key: key, Retry: patient, Timeout: 4 * time.Second,
		Once: true, Shed: load.ShedLast,
	}
}
