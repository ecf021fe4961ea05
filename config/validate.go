package config

import (
	"net/textproto"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"pollengauge.dev/call"
)

// Limits on a Set that operators submit; see Validate.
const (
	// MaxProfiles, MaxAssignments and MaxVary are maximum numbers of list entries.
	MaxProfiles    = 256
	MaxAssignments = 1024
	MaxVary        = 8
	// MaxNameLength, MaxPathLength and MaxTextLength are in bytes.
	MaxNameLength = 63
	MaxPathLength = 256
	MaxTextLength = 500
	// MaxCredit limits Profile.Credit.
	MaxCredit = 16
	// MinDeadline and MaxDeadline limit Profile.Deadline.
	MinDeadline = Duration(10 * time.Millisecond)
	MaxDeadline = Duration(call.MaxTimeout)
	// MaxBrownoutAge limits Brownout.MaxAge.
	MaxBrownoutAge = Duration(24 * time.Hour)
	// MaxRetryRatio limits Limits.RetryRatio.
	MaxRetryRatio = 0.5
	// MinHeaderBytes and MaxHeaderBytes limit Limits.HeaderBytes: usual request
	// headers have a few hundred bytes, and a node buffers one set of headers per
	// connection.
	MinHeaderBytes = 1 << 10
	MaxHeaderBytes = 1 << 20
	// MaxBodyBytes limits Limits.BodyBytes. A higher limit is not needed: nodes stream
	// bodies instead of buffering them, so bodies may be unlimited.
	MaxBodyBytes = 1 << 30
	// MinHeaderTimeout and MaxHeaderTimeout limit Limits.HeaderTimeout.
	MinHeaderTimeout = Duration(time.Second)
	MaxHeaderTimeout = Duration(time.Minute)
	// MinIdleTimeout and MaxIdleTimeout limit Limits.IdleTimeout.
	MinIdleTimeout = Duration(100 * time.Millisecond)
	MaxIdleTimeout = Duration(10 * time.Minute)
	// MaxVersion keeps versions exact in tools that read JSON numbers as floating
	// point.
	MaxVersion = 1 << 53

	maxMethodLength = 16
)

const (
	wantName   = "1 to 63 of a-z, 0-9 and -, starting with a letter"
	wantHeader = "a header name in canonical form, such as X-Api-Key"
	wantText   = "at most 500 bytes of UTF-8 without control characters"
)

// Validate checks a Set that operators submit. It returns nil or a *ValidationError
// with every problem. Apply calls it before it stores a change.
func Validate(s Set) error { return validate(s, true) }

// validateForNode checks whether a node can activate a Set that was accepted
// elsewhere: by Apply, by another build, or by the platform. It skips the limits
// that checkSubmitted enforces, such as the numbers of profiles, assignments and
// routes.
//
// If nodes enforced those limits, then as soon as operators added more routes than
// this build allows, every node would reject that version and all later ones and
// answer 404 on the new routes for good, although the platform had accepted them.
// Checking the limits on submission is enough, because there the error reaches the
// operator who can act on it.
func validateForNode(s Set) error { return validate(s, false) }

func validate(s Set, submitted bool) error {
	v := &validator{submitted: submitted}
	v.header(s)
	v.profiles(s.Profiles)
	if !s.AnyOrder {
		v.priorityOrder(s.Profiles)
	}
	v.assignments(s)
	v.routes(s)
	v.customers(s)
	v.limits(s.Limits)
	if submitted && len(v.problems) == 0 {
		v.encodedSize(s)
	}
	if len(v.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: v.problems}
}

func (v *validator) limits(l Limits) {
	v.check(inRange(l.RetryRatio, 0, MaxRetryRatio), "limits.retryRatio", formatFloat(l.RetryRatio), "a number from 0 to 0.5")
	v.check(l.HeaderBytes == 0 || (l.HeaderBytes >= MinHeaderBytes && l.HeaderBytes <= MaxHeaderBytes), "limits.headerBytes", strconv.Itoa(l.HeaderBytes), "0, or 1024 to 1048576")
	v.check(l.BodyBytes >= 0 && l.BodyBytes <= MaxBodyBytes, "limits.bodyBytes", strconv.Itoa(l.BodyBytes), "0 to 1073741824")
	v.check(l.HeaderTimeout == 0 || (l.HeaderTimeout >= MinHeaderTimeout && l.HeaderTimeout <= MaxHeaderTimeout), "limits.headerTimeout", l.HeaderTimeout.String(), "0s, or 1s to 1m")
	v.check(l.IdleTimeout == 0 || (l.IdleTimeout >= MinIdleTimeout && l.IdleTimeout <= MaxIdleTimeout), "limits.idleTimeout", l.IdleTimeout.String(), "0s, or 100ms to 10m")
}

type validator struct {
	// submitted is true for a Set that operators submit, to which the size limits
	// apply.
	submitted bool
	problems  []Problem
}

// checkSubmitted is check for a limit that applies only to submitted Sets.
func (v *validator) checkSubmitted(ok bool, path, value, want string) {
	v.check(ok || !v.submitted, path, value, want)
}

func (v *validator) check(ok bool, path, value, want string) {
	if !ok {
		v.problems = append(v.problems, Problem{Path: path, Value: value, Want: want})
	}
}

func (v *validator) header(s Set) {
	v.checkSubmitted(s.Version <= MaxVersion, "version", strconv.FormatUint(s.Version, 10), "at most 2^53")
	v.checkSubmitted(s.ChangeID == "" || call.ValidToken(s.ChangeID, MaxNameLength), "changeId", s.ChangeID, "at most 63 visible ASCII characters")
	v.checkSubmitted(validText(s.Author), "author", s.Author, wantText)
	v.checkSubmitted(validText(s.Comment), "comment", s.Comment, wantText)
	_, offset := s.At.Zone()
	year := s.At.Year()
	v.check(offset == 0 && year >= 1 && year <= 9999, "at", s.At.String(), "a time in UTC")
}

func (v *validator) profiles(profiles []Profile) {
	v.checkSubmitted(len(profiles) <= MaxProfiles, "profiles", strconv.Itoa(len(profiles)), "at most 256 profiles")
	seen := make(map[string]bool, len(profiles))
	for i, p := range profiles {
		fieldPath := "profiles[" + strconv.Itoa(i) + "]"
		v.profile(p, fieldPath)
		v.check(!seen[p.Name], fieldPath+".name", p.Name, "a name that no other profile has")
		seen[p.Name] = true
	}
	v.check(seen[DefaultProfileName], "profiles", DefaultProfileName, "a profile of this name for calls that no assignment matches")
}

func (v *validator) profile(p Profile, fieldPath string) {
	v.check(validName(p.Name), fieldPath+".name", p.Name, wantName)
	v.check(p.Priority >= 0 && p.Priority <= int(call.MaxPriority), fieldPath+".priority", strconv.Itoa(p.Priority), "0 to 15")
	v.check(p.Key == KeyOptional || p.Key == KeyRequired, fieldPath+".key", string(p.Key), "optional or required")
	v.check(slices.Contains(recordModes, p.Record), fieldPath+".record", string(p.Record), "none, claim or peer")
	v.check(!p.Record.needsKey() || p.Unrepeatable, fieldPath+".record", string(p.Record), "none, because the profile is not unrepeatable")
	v.check(p.Deadline >= MinDeadline && p.Deadline <= MaxDeadline, fieldPath+".deadline", p.Deadline.String(), "10ms to 10m")
	v.check(p.Target >= 0 && p.Target <= p.Deadline, fieldPath+".target", p.Target.String(), "0s to the deadline")
	v.check(p.MaxWait >= 0 && p.MaxWait <= p.Deadline, fieldPath+".maxWait", p.MaxWait.String(), "0s to the deadline")
	v.check(p.Credit >= 0 && p.Credit <= MaxCredit, fieldPath+".credit", strconv.Itoa(p.Credit), "0 to 16")
	v.check(inRange(float64(p.Prefer), 0, 1), fieldPath+".prefer", formatFloat(float64(p.Prefer)), wantPreference)
	v.check(p.CallerHeader == "" || validHeader(p.CallerHeader), fieldPath+".callerHeader", p.CallerHeader, wantHeader)
	v.brownout(p, fieldPath+".brownout")
}

func (v *validator) brownout(p Profile, fieldPath string) {
	b := p.Brownout
	v.check(b.MaxAge >= 0 && b.MaxAge <= MaxBrownoutAge, fieldPath+".maxAge", b.MaxAge.String(), "0s to 24h")
	// A stored response to an earlier filing would tell the caller that the current
	// filing was sent.
	v.check(b.MaxAge == 0 || !p.Unrepeatable, fieldPath+".maxAge", b.MaxAge.String(), "0s, because the profile is unrepeatable")
	v.checkSubmitted(len(b.Vary) <= MaxVary, fieldPath+".vary", strconv.Itoa(len(b.Vary)), "at most 8 headers")
	for i, name := range b.Vary {
		v.check(validHeader(name) && !slices.Contains(b.Vary[:i], name), fieldPath+".vary["+strconv.Itoa(i)+"]", name, wantHeader+", once")
	}
	if b.MaxAge == 0 {
		return
	}
	// Without the identity headers in the cache key, one caller would receive the
	// stored response of another.
	for _, name := range identityHeaders {
		v.check(slices.Contains(b.Vary, name), fieldPath+".vary", strings.Join(b.Vary, ","), "a list that contains "+name)
	}
}

// priorityOrder rejects a Set in which unrepeatable work, which must not be lost,
// would be shed before or together with work that callers can safely repeat.
func (v *validator) priorityOrder(profiles []Profile) {
	highest := -1
	name := ""
	for _, p := range profiles {
		if !p.Unrepeatable && !p.Internal && p.Priority > highest {
			highest = p.Priority
			name = p.Name
		}
	}
	for i, p := range profiles {
		if p.Unrepeatable {
			want := "above " + strconv.Itoa(highest) + ", the priority of the repeatable profile " + name
			v.check(p.Priority > highest, "profiles["+strconv.Itoa(i)+"].priority", strconv.Itoa(p.Priority), want)
		}
	}
}

func (v *validator) assignments(s Set) {
	v.checkSubmitted(len(s.Assignments) <= MaxAssignments, "assignments", strconv.Itoa(len(s.Assignments)), "at most 1024 assignments")
	names := make(map[string]bool, len(s.Profiles))
	for _, p := range s.Profiles {
		names[p.Name] = true
	}
	seen := make(map[Assignment]bool, len(s.Assignments))
	for i, a := range s.Assignments {
		fieldPath := "assignments[" + strconv.Itoa(i) + "]"
		v.check(a.Service == AnyService || validName(a.Service), fieldPath+".service", a.Service, wantName+", or *")
		v.check(validMethod(a.Method), fieldPath+".method", a.Method, "an HTTP method in capitals, or none")
		v.check(validPrefix(a.PathPrefix), fieldPath+".pathPrefix", a.PathPrefix, "a clean path from / of at most 256 bytes, without a slash at its end, or none")
		v.check(names[a.Profile], fieldPath+".profile", a.Profile, "the name of a profile")
		match := a.match()
		v.check(!seen[match], fieldPath, match.Service+" "+match.Method+" "+match.PathPrefix, "a match that no other assignment has")
		seen[match] = true
	}
}

// match returns what a matches, with equivalent forms normalized to one.
func (a Assignment) match() Assignment {
	a.Profile = ""
	if a.PathPrefix == "/" {
		a.PathPrefix = ""
	}
	return a
}

func (v *validator) encodedSize(s Set) {
	data, err := marshal(s)
	v.check(err == nil, "set", "", "values that JSON can hold")
	v.check(len(data) <= MaxEncoded, "set", strconv.Itoa(len(data)), "at most 524288 bytes in all")
}

func validName(s string) bool {
	if s == "" || len(s) > MaxNameLength || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func validMethod(s string) bool {
	for _, r := range s {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return len(s) <= maxMethodLength
}

func validPrefix(s string) bool {
	if s == "" {
		return true
	}
	return len(s) <= MaxPathLength && s[0] == '/' && path.Clean(s) == s && validText(s)
}

func validHeader(s string) bool {
	return call.ValidToken(s, MaxNameLength) && !strings.ContainsAny(s, `"(),/:;<=>?@[\]{}`) &&
		textproto.CanonicalMIMEHeaderKey(s) == s
}

func validText(s string) bool {
	return len(s) <= MaxTextLength && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}
