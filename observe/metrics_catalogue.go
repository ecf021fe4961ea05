package observe

// Units of metrics.
const (
	unitCount   = "1"
	unitSeconds = "seconds"
	unitBytes   = "bytes"
	unitRatio   = "ratio"
)

// metricCatalogue holds every metric in the order of definition. It is written
// only during the initialisation of package variables.
var metricCatalogue []Metric

func defineMetric(name string, kind MetricKind, unit, meaning string, labels ...string) Metric {
	m := Metric{Name: name, Kind: kind, Unit: unit, Labels: labels, Meaning: meaning}
	metricCatalogue = append(metricCatalogue, m)
	return m
}

// MetricCatalogue returns all metrics, in the order of the docs.
func MetricCatalogue() []Metric { return append([]Metric(nil), metricCatalogue...) }

// Calls and their outcomes.
var (
	callsMetric      = defineMetric("pollengauge_calls_total", CounterKind, unitCount, "Calls answered by this node as the root or for its upstream, by what the caller was told. Combinations that never occurred are left out.", "profile", "outcome", "reason")
	refusedMetric    = defineMetric("pollengauge_refused_total", CounterKind, unitCount, "Calls that this node itself refused before dispatch. Combinations that never occurred are left out.", "profile", "reason")
	attemptsMetric   = defineMetric("pollengauge_attempts_total", CounterKind, unitCount, "Attempts taken in from peers (inbound) and sent to peers (outbound).", "profile", "direction")
	retriesMetric    = defineMetric("pollengauge_retries_total", CounterKind, unitCount, "Decisions on a further attempt after a failed one, by verdict.", "profile", "verdict")
	creditsMetric    = defineMetric("pollengauge_credits_total", CounterKind, unitCount, "Retry credits granted at the root, handed down, spent here and returned by answers.", "profile", "movement")
	brownoutsMetric  = defineMetric("pollengauge_brownout_answers_total", CounterKind, unitCount, "Stored answers given in place of fresh ones.", "profile")
	queueWaitMetric  = defineMetric("pollengauge_queue_wait_seconds", HistogramKind, unitSeconds, "Time from arrival to dispatch or refusal.", "profile")
	callTimeMetric   = defineMetric("pollengauge_call_seconds", HistogramKind, unitSeconds, "Time from arrival to the whole answer.", "profile")
	inTargetMetric   = defineMetric("pollengauge_answers_in_target_total", CounterKind, unitCount, "Complete answers that were ready within the profile's target; the share of them in all calls is the profile's objective.", "profile")
	levelBelowMetric = defineMetric("pollengauge_level_below", GaugeKind, unitCount, "Highest admission level known of the hops below, as one number (priority times 128 plus tie-break).", "profile")
)

// Admission.
var (
	limitMetric          = defineMetric("pollengauge_limit", GaugeKind, unitCount, "Concurrency limit in force for the upstream.")
	inFlightMetric       = defineMetric("pollengauge_in_flight", GaugeKind, unitCount, "Calls dispatched to the upstream and not yet answered.")
	blockedMetric        = defineMetric("pollengauge_blocked", GaugeKind, unitCount, "Calls in flight that wait for calls they made below.")
	queueMetric          = defineMetric("pollengauge_queue_length", GaugeKind, unitCount, "Calls waiting for dispatch.")
	admitLevelMetric     = defineMetric("pollengauge_admission_level", GaugeKind, unitCount, "Admission level in force; requests below it are refused. 0 refuses none.")
	loadMetric           = defineMetric("pollengauge_load_ratio", GaugeKind, unitRatio, "Calls in flight and waiting as a share of the limit.")
	afterDepartureMetric = defineMetric("pollengauge_calls_after_departure_total", CounterKind, unitCount, "Calls sent to an incarnation of the upstream beside this node some time after its departure was recorded.")
	crashesMetric        = defineMetric("pollengauge_upstreams_ended_total", CounterKind, unitCount, "Times that the upstream beside this node ended without notice while it was running calls.")
	quarantineMetric     = defineMetric("pollengauge_quarantine_total", CounterKind, unitCount, "Requests under which upstreams end, by what changed: suspected after one end, held back, tried again once, cleared.", "change")
	quarantinedMetric    = defineMetric("pollengauge_quarantine_requests", GaugeKind, unitCount, "Requests under which upstreams have ended that this node knows of, by state.", "state")
	drainingMetric       = defineMetric("pollengauge_draining", GaugeKind, unitCount, "1 while the node takes no new work.")
)

// Keys and fates.
var (
	keysMetric    = defineMetric("pollengauge_keys", GaugeKind, unitCount, "Idempotency keys held, by state.", "state")
	claimsMetric  = defineMetric("pollengauge_claims_total", CounterKind, unitCount, "Claims on keys that callers brought, by result.", "result")
	witnessMetric = defineMetric("pollengauge_witness_notes_total", CounterKind, unitCount, "Notes of unrepeatable calls told to another member, by result.", "result")
	unknownMetric = defineMetric("pollengauge_unknown_fates_total", CounterKind, unitCount, "Keyed calls whose fate is not known, by reason.", "reason")
)

// Services, connections and the log.
var (
	retryLeftMetric        = defineMetric("pollengauge_retry_budget_left", GaugeKind, unitCount, "Retries on a service that this node may still make now, where each service has a bound of its own. 0 while it fails is the bound at work.", "service")
	serviceLevelMetric     = defineMetric("pollengauge_service_level", GaugeKind, unitCount, "Highest admission level that a service's upstreams told of lately, as one number (priority times 128 plus tie-break). Requests below it are likely to be refused there.", "service")
	upstreamReportedMetric = defineMetric("pollengauge_upstream_reported", GaugeKind, unitCount, "What the upstream on this VM reported of itself in the last ten seconds: requests that run, requests that wait, slots, and work-time, the time that work takes as a multiple of the usual one; and limit, the requests a second that it takes from all nodes together, 0 if it names none.", "figure")
	serviceLoadMetric      = defineMetric("pollengauge_service_load_ratio", GaugeKind, unitRatio, "Mean load that a service's upstreams told of lately, as a share of their limits.", "service")
	loadTargetsMetric      = defineMetric("pollengauge_target_load_targets", GaugeKind, unitCount, "Upstreams of a service that this node calls and that report their load, by whether the report is used: believed, old (half a second or more), or contradicted by this node's own calls within the last five seconds.", "service", "belief")
	loadAgeMetric          = defineMetric("pollengauge_target_load_age_seconds", GaugeKind, unitSeconds, "Mean age of the believed load reports of a service's upstreams.", "service")
	loadIgnoredMetric      = defineMetric("pollengauge_target_load_ignored_total", CounterKind, unitCount, "Load reports that were not used, by reason: malformed or beyond the limits, old on arrival, contradicted by this node's own calls, or of another instance of the upstream on this VM.", "reason")
	connectionsMetric      = defineMetric("pollengauge_connections", GaugeKind, unitCount, "Open connections, by listener.", "listener")
	logLinesMetric         = defineMetric("pollengauge_log_lines_lost_total", CounterKind, unitCount, "Log lines that were not written: over the rate of their event (left-out), or for want of a reader (dropped).", "cause")
)

// Membership.
var (
	membersMetric        = defineMetric("pollengauge_members", GaugeKind, unitCount, "Nodes known, by state.", "state")
	gossipBytesMetric    = defineMetric("pollengauge_gossip_bytes_total", CounterKind, unitBytes, "Bytes of gossip sent and received.", "direction")
	gossipMessagesMetric = defineMetric("pollengauge_gossip_messages_total", CounterKind, unitCount, "Gossip messages sent and received.", "direction")
)

// Shared connections between nodes.
var (
	peerlinkConnsMetric     = defineMetric("pollengauge_peerlink_connections", GaugeKind, unitCount, "Open shared connections with other nodes, by who opened them: outbound are those of this node.", "direction")
	peerlinkStreamsMetric   = defineMetric("pollengauge_peerlink_streams", GaugeKind, unitCount, "Calls in progress on shared connections.", "direction")
	peerlinkCallsMetric     = defineMetric("pollengauge_peerlink_calls_total", CounterKind, unitCount, "Calls on shared connections.", "direction")
	peerlinkBytesMetric     = defineMetric("pollengauge_peerlink_bytes_total", CounterKind, unitBytes, "Bytes of frames, both ways, by who opened the connection.", "direction")
	peerlinkWritesMetric    = defineMetric("pollengauge_peerlink_writes_total", CounterKind, unitCount, "Writes to shared connections. Fewer than calls where several frames went into one write.", "direction")
	peerlinkFallbacksMetric = defineMetric("pollengauge_peerlink_fallbacks_total", CounterKind, unitCount, "Times that a node did not accept a shared connection, and HTTP/1.1 was used.")
	peerlinkMalformedMetric = defineMetric("pollengauge_peerlink_malformed_total", CounterKind, unitCount, "Shared connections that were closed because of a frame that could not be parsed.", "direction")
)

// Configuration and platform.
var (
	configVersionMetric = defineMetric("pollengauge_config_version", GaugeKind, unitCount, "Configuration version in force.")
	configNewestMetric  = defineMetric("pollengauge_config_newest_version", GaugeKind, unitCount, "Highest configuration version known to exist; above the one in force where that one is refused or still on its way.")
	configAgeMetric     = defineMetric("pollengauge_config_age_seconds", GaugeKind, unitSeconds, "Time since the version in force was accepted on this node.")
	platformCallsMetric = defineMetric("pollengauge_platform_calls_total", CounterKind, unitCount, "Calls to the platform, a waiting watch as one.", "op", "result")
	platformTimeMetric  = defineMetric("pollengauge_platform_call_seconds", HistogramKind, unitSeconds, "Time that calls to the platform took, watches left out.", "op")
)

// Edges.
var (
	rootsMetric           = defineMetric("pollengauge_roots_without_context_total", CounterKind, unitCount, "Calls out of the upstream that lacked the headers of the request it serves.")
	forgedMetric          = defineMetric("pollengauge_forged_headers_total", CounterKind, unitCount, "Requests from outside that carried headers only nodes may set.")
	malformedMetric       = defineMetric("pollengauge_malformed_total", CounterKind, unitCount, "Messages, headers and answers that could not be read, by source.", "source")
	headsRefusedMetric    = defineMetric("pollengauge_heads_refused_total", CounterKind, unitCount, "Heads of requests that were refused before they were parsed, by reason: too-large, malformed, slow (not complete in time), no-memory (no room beside the large heads of other requests).", "reason")
	unauthenticatedMetric = defineMetric("pollengauge_strangers_total", CounterKind, unitCount, "Requests without the key of a customer, by what their callers were told.", "reason")
	quotasMetric          = defineMetric("pollengauge_quota_requests_total", CounterKind, unitCount, "Requests of customers with a limit: taken within it, refused beyond it, or unknown where nobody who counts could be asked.", "result")
	unroutedMetric        = defineMetric("pollengauge_unrouted_total", CounterKind, unitCount, "Requests for which the configuration in force has no route, by what their callers were told.", "reason")
	requestsCutMetric     = defineMetric("pollengauge_requests_cut_total", CounterKind, unitCount, "Requests that were read and whose connection closed without a complete response, by cause.", "cause")
	abandonedRunsMetric   = defineMetric("pollengauge_abandoned_runs_total", CounterKind, unitCount, "Runs at the upstream whose caller disconnected, by verdict (finish, abort) and reason. A run that was allowed to finish and took too long is counted again, as aborted for the reason overdue.", "verdict", "reason")
	upstreamConnsMetric   = defineMetric("pollengauge_upstream_connections_opened_total", CounterKind, unitCount, "Connections opened to the upstream on this VM.")
	slotTimeMetric        = defineMetric("pollengauge_slot_time_seconds_total", CounterKind, unitSeconds, "Slot time that completed requests of customers took of services under pressure, of the 20 customers that took most at this node. All others are counted as other, and a customer that enters a full list is counted from then on.", "customer")
	slotIgnoredMetric     = defineMetric("pollengauge_slot_time_ignored_total", CounterKind, unitCount, "Responses whose slot time was not counted, because it is not valid or there was no room for another service or customer.")
	panicsMetric          = defineMetric("pollengauge_panics_total", CounterKind, unitCount, "Panics recovered while serving.")
	pipelinedMetric       = defineMetric("pollengauge_requests_begun_early_total", CounterKind, unitCount, "Requests that were begun while a request before them on their caller's connection was not answered yet.")
	spansMetric           = defineMetric("pollengauge_spans_total", CounterKind, unitCount, "Spans handed to the exporter, by result.", "result")
)

// Process.
var (
	infoMetric       = defineMetric("pollengauge_node_info", GaugeKind, unitCount, "Always 1; its labels name the node.", "node", "service", "zone")
	cpuMetric        = defineMetric("process_cpu_seconds_total", CounterKind, unitSeconds, "CPU time used by the process, user and system.")
	memoryMetric     = defineMetric("process_resident_memory_bytes", GaugeKind, unitBytes, "Resident memory of the process.")
	goroutinesMetric = defineMetric("go_goroutines", GaugeKind, unitCount, "Goroutines that exist.")
)
