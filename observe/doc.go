// Package observe records and shows the decisions of a node: numbered log
// events (Logger), metrics (Metrics), a ring buffer of recent hops (Ring), spans
// for an OpenTelemetry collector (Exporter), and the two text screens for
// operators (Explain and RenderTop).
//
// A node creates one Logger, one Metrics and one Ring, resolves the metric
// handles of each profile once with Metrics.Profile, and adds one Hop to the
// ring for each step of a call:
//
//	ring := observe.NewRing(observe.DefaultRingSize)
//	metrics := observe.NewMetrics(observe.MetricsConfig{Node: "registry-1"})
//	profile := metrics.Profile("tracking")
//	profile.Call(call.NotRun, call.ReasonLevel)
//	ring.Add(observe.Hop{RequestID: id, Decision: observe.Refused, Reason: call.ReasonLevel})
//
// Adding a hop, counting a call and recording a duration allocate nothing and
// never wait for I/O. All memory is bounded: the ring by its size, each metric
// family by MaxSeries and the export queue by ExporterConfig.Queue. The log
// lines of each event are bounded by its rate. Hops and lines over these bounds
// are dropped and counted; label values over MaxSeries share one series.
//
// All methods of Logger, Metrics, Ring and Exporter may be called
// concurrently. Explain and RenderTop are pure functions of their arguments.
package observe
