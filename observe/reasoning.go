package observe

import (
	"strconv"
	"strings"

	"pollengauge.dev/call"
)

// explanation returns sentences on the verdict, its cause, and a possible remedy.
func explanation(steps []step, refusals []Hop) []string {
	top := steps[0]
	decider := decidingStep(steps)
	if top.Outcome == call.Complete {
		return explainComplete(steps, decider)
	}
	sentences := []string{"Verdict: " + top.Outcome.String() + ". " + outcomeMeaning(top.Outcome)}
	if decider < 0 {
		return append(sentences, "No hop that is still held gave the reason "+orDash(printable(string(top.Reason)))+".")
	}
	s := steps[decider]
	advice := AdviceFor(s.Reason)
	sentences = append(sentences, "Why: "+describeHop(s)+" "+decisionVerb(s)+" because "+printable(advice.Cause)+".")
	sentences = append(sentences, decisionFigures(s)...)
	if s.Reason == call.ReasonLevelBelow {
		sentences = append(sentences, sheddingServices(s, refusals))
	}
	if s.Depth > top.Depth {
		sentences = append(sentences, "The hops above passed that answer on; they had let the request through.")
	}
	sentences = append(sentences, noRetryReason(steps)...)
	if blockedDownstream(s) {
		return append(sentences, "What to change: look below first. Most calls in flight at "+printable(s.Service)+
			" only wait for calls to deeper services; capacity here would not help.")
	}
	return append(sentences, "What to change: "+advice.Action)
}

// blockedDownstream reports whether the service refused the request for lack of
// capacity while more than half of its calls in flight waited for calls to
// downstream services.
func blockedDownstream(s step) bool { return refusedByOwnGate(s.Hop) && s.Blocked*2 > s.InFlight }

func blockedNote(s step) string {
	if s.Blocked == 0 {
		return ""
	}
	return ", " + strconv.Itoa(s.Blocked) + " of them waiting for calls below"
}

func explainComplete(steps []step, decider int) []string {
	sentences := []string{"Verdict: complete. " + outcomeMeaning(call.Complete)}
	if decider >= 0 && steps[decider].Outcome != call.Complete {
		return append(sentences, explainDownstreamFailure(steps[0], steps[decider])...)
	}
	if i := firstStoredAnswer(steps); i >= 0 {
		return append(sentences, explainStoredAnswer(steps[i])...)
	}
	if n := countRefusedAttempts(steps); n > 0 {
		sentences = append(sentences, "Refused attempts on the way: "+strconv.Itoa(n)+", each not run and tried again within the retry credit.")
	}
	if decider < 0 {
		return append(sentences, "Why: no hop held it back; each admitted it at or above its admission level.")
	}
	s := steps[decider]
	sentences = append(sentences, "Delayed most by "+describeHop(s)+", for "+shortDuration(s.Waited)+".")
	sentences = append(sentences, decisionFigures(s)...)
	return append(sentences, "What to change: add capacity to "+printable(s.Service)+" if such waits last; a shorter wait in the profile refuses instead.")
}

// explainStoredAnswer explains a stored answer, for which nothing was run.
func explainStoredAnswer(s step) []string {
	given := "The answer is a stored one, given by " + describeHop(s) + "."
	if s.Decision == Replayed {
		return []string{given, "Why: the same idempotency key came before and ran; this is its answer."}
	}
	return []string{
		given,
		"Why: it would have been refused, and its profile takes a stored answer in place of a refusal (brownout). " +
			"Figures: " + compareLevels(s.Level, s.LevelBelow, "in force at this or a deeper hop") + ".",
		"What to change: add capacity to the service that sheds; brownout.maxAge bounds the age, and 0s refuses instead.",
	}
}

// explainDownstreamFailure explains an error response of the upstream that
// followed a call downstream which did not complete.
func explainDownstreamFailure(top, s step) []string {
	advice := AdviceFor(s.Reason)
	sentences := []string{
		"The upstream answered with status " + strconv.Itoa(top.Status) + " after a call below ended " + s.Outcome.String() + ".",
		"Why: " + describeHop(s) + " " + decisionVerb(s) + " because " + printable(advice.Cause) + ".",
	}
	sentences = append(sentences, decisionFigures(s)...)
	return append(sentences, "What to change: "+advice.Action)
}

func countRefusedAttempts(steps []step) int {
	n := 0
	for _, s := range steps {
		if s.Kind == Attempt && s.Outcome == call.NotRun {
			n++
		}
	}
	return n
}

// describeHop describes the hop by service, kind, node and zone. For outbound calls
// and attempts it says that the hop is a call, since they take place on the
// caller's node.
func describeHop(s step) string {
	text := printable(s.Service)
	if s.Kind == Outbound || s.Kind == Attempt {
		text = "the call to " + text
	}
	text += " (" + printable(string(s.Kind)) + " hop on node " + printable(s.Node)
	if s.Zone != "" {
		text += ", zone " + printable(s.Zone)
	}
	return text + ")"
}

func decisionVerb(s step) string {
	switch {
	case s.Decision == Refused:
		return "refused it"
	case s.Outcome == call.NotRun:
		return "did not run it"
	}
	return "left its fate unknown"
}

// decisionFigures lists the numbers behind the decision of the hop.
func decisionFigures(s step) []string {
	var parts []string
	switch s.Reason {
	case call.ReasonLevel:
		parts = append(parts, compareLevels(s.Level, s.AdmitLevel, "in force there"))
	case call.ReasonLevelBelow:
		parts = append(parts, compareLevels(s.Level, s.LevelBelow, "in force at a deeper hop"))
	default:
		parts = append(parts, "its level was "+s.Level.String()+" and "+s.AdmitLevel.String()+" was in force there")
	}
	parts = append(parts, "waited "+shortDuration(s.Waited))
	if s.Limit > 0 {
		// Only the step directly in front of the upstream knows the limit and the queue.
		parts = append(parts,
			strconv.Itoa(s.InFlight)+" in flight of a limit of "+strconv.Itoa(s.Limit)+blockedNote(s),
			strconv.Itoa(s.Queue)+" in the queue")
	}
	parts = append(parts, "load "+perMille(s.Load))
	return []string{"Figures: " + strings.Join(parts, "; ") + "."}
}

// compareLevels compares a request's level with the admission level in force. Within
// one priority the tie-break decides, so only part of its requests are refused.
func compareLevels(request, inForce call.Level, place string) string {
	relation := "not below"
	if request < inForce {
		relation = "below"
	}
	text := "its level " + request.String() + " is " + relation + " " + inForce.String() + " " + place
	asked, needed := int(request.Priority()), int(inForce>>priorityShift)
	if asked == needed {
		return text + " (of priority " + strconv.Itoa(asked) + " a part is refused, by tie-break)"
	}
	return text + " (priority " + strconv.Itoa(asked) + " against " + strconv.Itoa(needed) + ")"
}

// priorityShift is the number of tie-break bits in a level. An admission
// level may exceed call.MaxLevel by one, which Level.Priority would clamp.
const priorityShift = 7

// outcomeMeaning says what a caller may conclude from an outcome.
func outcomeMeaning(o call.Outcome) string {
	switch o {
	case call.Complete:
		return "The whole answer was given."
	case call.NotRun:
		return "Nothing ran, here or further down: it may safely be sent again."
	}
	return "It was dispatched and its fate is not known: an unrepeatable request must not be sent again before asking the upstream."
}
