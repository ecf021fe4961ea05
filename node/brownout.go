package node

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollengauge.dev/admission"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// negotiationHeaders lists the headers that select the representation of a response.
var negotiationHeaders = []string{"Accept", "Accept-Encoding", "Accept-Language", "Range"}

// customPrefix is the prefix of headers that services define for themselves.
const customPrefix = "X-"

// ignoredCustom lists common X- headers that identify neither a caller nor a
// representation of the response.
var ignoredCustom = map[string]bool{
	headerRequestID: true, "X-Forwarded-For": true, "X-Forwarded-Proto": true,
	"X-Forwarded-Host": true, "X-Real-Ip": true, "X-Requested-With": true,
}

// brownoutKey returns the key of the stored response to this request of this caller.
//
// A service may tell callers apart by a header that no profile names; with a key that
// lacks it one caller would get another caller's data. The key therefore contains the
// profile's vary headers (always including credentials and cookies), its caller
// header, the caller's address if there are no credentials, and every header that a
// service may have defined for itself.
func (n *Node) brownoutKey(req *request) admission.BrownoutKey {
	if n.settings.Ablate.SharedAnswers {
		return admission.BrownoutKey{Method: req.method, URL: req.service + req.url.RequestURI()}
	}
	key := make(http.Header)
	include := func(name string) {
		if values := req.header.Values(name); len(values) > 0 {
			key[http.CanonicalHeaderKey(name)] = values
		}
	}
	for _, name := range req.profile.Brownout.Vary {
		include(name)
	}
	for _, name := range negotiationHeaders {
		include(name)
	}
	if name := req.profile.CallerHeader; name != "" {
		include(name)
	}
	for name := range req.header {
		if strings.HasPrefix(name, customPrefix) && !ignoredCustom[name] {
			include(name)
		}
	}
	return admission.BrownoutKey{
		Method: req.method,
		URL:    req.service + req.url.RequestURI(),
		Caller: req.caller,
		Header: key,
	}
}

// storable reports whether the key covers every header that the response's Vary
// lists. The negotiated headers are always part of the key.
func storable(key admission.BrownoutKey, answer http.Header) bool {
	for _, field := range answer.Values("Vary") {
		for name := range strings.SplitSeq(field, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			_, inKey := key.Header[name]
			if name == "" || inKey || slices.Contains(negotiationHeaders, name) {
				continue
			}
			return false
		}
	}
	return true
}

// brownout returns a stored response in place of a rejection, if the profile allows a
// response of its age, else nil. The response carries its age, so that nobody takes
// it for a fresh one.
func (n *Node) brownout(req *request) *answer {
	maxAge := time.Duration(req.profile.Brownout.MaxAge)
	if maxAge == 0 {
		return nil
	}
	stored, age, ok := n.brownoutStore.Get(n.brownoutKey(req), n.now())
	if !ok || age > maxAge {
		return nil
	}
	n.metrics.Profile(req.call.Profile).Brownouts.Inc(1)
	header := stored.Header.Clone()
	seconds := strconv.FormatInt(int64(age/time.Second), 10)
	header.Set("Age", seconds)
	a := &answer{status: stored.Status, header: header, body: memoryBody(stored.Body), decision: observe.Stale, stale: seconds}
	a.report = call.Report{Outcome: call.Complete, Hop: n.settings.Service, HighestAdmitLevel: n.gate.AdmitLevel(), Load: n.gate.Load()}
	return a
}

// storeForBrownout returns the body of a. If the profile allows brownouts, the returned
// body stores a copy of a fresh response while it is streamed.
func (n *Node) storeForBrownout(req *request, a *answer) io.ReadCloser {
	fresh := a.report.Outcome == call.Complete && a.status == http.StatusOK && a.decision == ""
	if req.profile.Brownout.MaxAge == 0 || !fresh {
		return a.body
	}
	return &storingBody{readCloser: a.body, node: n, req: req, answer: a}
}

// maxStoredBody is the maximum size of a stored response body, in bytes.
const maxStoredBody = 256 << 10

// storingBody stores the response once it has been read completely.
type storingBody struct {
	readCloser
	node     *Node
	req      *request
	answer   *answer
	copy     bytes.Buffer
	overflow bool
}

// Read implements io.Reader.
func (b *storingBody) Read(p []byte) (int, error) {
	count, err := b.readCloser.Read(p)
	b.overflow = b.overflow || b.copy.Len()+count > maxStoredBody
	if !b.overflow {
		b.copy.Write(p[:count])
	}
	if err == io.EOF && !b.overflow && len(b.answer.trailers()) == 0 {
		b.node.storeAnswer(b.req, b.answer, b.copy.Bytes())
	}
	return count, err
}

// storeAnswer stores a complete response for a later brownout.
func (n *Node) storeAnswer(req *request, a *answer, body []byte) {
	key := n.brownoutKey(req)
	if !storable(key, a.header) {
		return
	}
	n.brownoutStore.Put(key, admission.Answer{Status: a.status, Header: a.header, Body: body}, n.now())
}
