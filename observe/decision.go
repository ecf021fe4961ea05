package observe

import "hash/fnv"

// DefaultDecisionSample is the default sampling divisor of routine decisions: they
// are logged for one request in 64.
const DefaultDecisionSample = 64

// Rate limits of the log lines on decisions, per node and event. The burst of each
// is the number of lines of decisionBurstSeconds. Refused and lost requests have
// the higher limit, because they are the ones that operators are asked about.
const (
	routineLinesPerSecond = 20
	refusalLinesPerSecond = 40
	decisionBurstSeconds  = 5
)

// Decide logs the decision recorded in a hop. Routine decisions are logged for one
// request in sample. The choice depends on the request id only, so all nodes log
// the same requests and a logged request has the lines of all its hops.
func (l *Logger) Decide(h *Hop, sample uint32) {
	e := decisionEvent(h)
	routine := e.ID == DecisionAdmitted.ID || e.ID == DecisionDelayed.ID
	if routine && !inSample(h.RequestID, sample) {
		return
	}
	if !l.allows(e) {
		return
	}
	l.write(e, l.events[e.ID], h.fields())
}

func decisionEvent(h *Hop) Event {
	switch {
	case h.Decision == Refused:
		return DecisionRefused
	case h.Outcome == 0:
		return DecisionUnknown
	case h.Decision == Delayed:
		return DecisionDelayed
	}
	return DecisionAdmitted
}

func inSample(id string, sample uint32) bool {
	if sample <= 1 {
		return true
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()%sample == 0
}

// fields returns the log fields of a decision: the values behind it and the
// outcome. The configuration version and the load are those at the time of the
// decision.
func (h *Hop) fields() []Field {
	fields := []Field{
		Str("step", string(h.Kind)),
		Str("request", h.RequestID),
		Str("called", h.Service),
		Str("profile", h.Profile),
		Str("outcome", h.Outcome.String()),
		Str("reason", string(h.Reason)),
		Dur("waited", h.Waited),
		Dur("took", h.Took),
		Str("request_level", h.Level.String()),
		Str("admit_level", h.AdmitLevel.String()),
		Int("load", h.Load),
		Int("pressure", h.Pressure),
		Int("in_flight", h.InFlight),
		Int64("config", int64(h.ConfigVersion)),
	}
	if h.Target != "" {
		fields = append(fields, Str("target", h.Target), Int("attempt", h.Attempt))
	}
	if h.Ended != "" {
		fields = append(fields, Str("ended", h.Ended))
	}
	if h.Fingerprint != "" {
		fields = append(fields, Str("fingerprint", h.Fingerprint))
	}
	if h.Limit > 0 {
		fields = append(fields, Int("limit", h.Limit), Int("queue", h.Queue))
	}
	if h.Status > 0 {
		fields = append(fields, Int("status", h.Status))
	}
	return fields
}
