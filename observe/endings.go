package observe

import "strconv"

// endings tells operators why no further attempt followed, by the words of the
// retry module's verdict. "deeper" has no entry: the step that it names had
// its own.
var endings = map[string]string{
	"may-have-run": "the attempt may have run, and the call is not idempotent",
	"hopeless":     "no other target would have answered differently",
	"overload":     "most members of the service refused at that time, so that a retry would only have added load",
	"deadline":     "too little time was left for another attempt",
	"no-target":    "every target had been tried",
	"no-credit":    "the retry credit of the request was used up, or lent to other calls (credit in its profile)",
	"rationed":     "more retries were wanted than the service's budget earns, and they went to requests that need fewer of them",
	"budget":       "the retries of the node had reached their share of its first attempts (retryRatio in limits)",
}

// Ending says in words why no further attempt followed; empty for a verdict
// that is no ending, or one of a version that this one doesn't know.
func Ending(why string) string { return endings[why] }

// notTriedAgain tells how many extra attempts the request had over its whole
// chain, and why there was no further one at the step next to the failure.
func notTriedAgain(steps []step) []string {
	i := deepest(steps, func(s step) bool { return endings[s.Ended] != "" })
	if i < 0 {
		return nil
	}
	extra := 0
	for _, s := range steps {
		if s.Kind == Attempt && s.Attempt > 1 {
			extra++
		}
	}
	return []string{"Not tried again, after " + strconv.Itoa(extra) + " extra attempts in the whole chain: " + endings[steps[i].Ended] + "."}
}
