package observe

import "strconv"

// noRetryTexts explains to operators why a call was not tried again, by the
// verdict of the retry module. The verdict "deeper" has no entry: the downstream
// step that failed has a verdict of its own.
var noRetryTexts = map[string]string{
	"may-have-run": "the attempt may have run, and the call is not idempotent",
	"hopeless":     "no other target would have answered differently",
	"overload":     "most members of the service refused at that time, so that a retry would only have added load",
	"deadline":     "too little time was left for another attempt",
	"no-target":    "every target had been tried",
	"no-credit":    "the retry credit of the request was used up, or lent to other calls (credit in its profile)",
	"rationed":     "more retries were wanted than the service's budget earns, and they went to requests that need fewer of them",
	"budget":       "the retries of the node had reached their share of its first attempts (retryRatio in limits)",
}

// Ending returns the explanation of a verdict that ruled out a further attempt.
// It returns "" for other verdicts and for those that this version doesn't know.
func Ending(why string) string { return noRetryTexts[why] }

// noRetryReason reports the number of extra attempts over the request's whole
// chain, and why the most downstream step with such a verdict was not tried again.
func noRetryReason(steps []step) []string {
	i := lastAtGreatestDepth(steps, func(s step) bool { return noRetryTexts[s.Ended] != "" })
	if i < 0 {
		return nil
	}
	extra := 0
	for _, s := range steps {
		if s.Kind == Attempt && s.Attempt > 1 {
			extra++
		}
	}
	return []string{"Not tried again, after " + strconv.Itoa(extra) + " extra attempts in the whole chain: " + noRetryTexts[steps[i].Ended] + "."}
}
