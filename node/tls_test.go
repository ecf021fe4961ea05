package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/observe"
	"pollengauge.dev/secure/securetest"
)

// events is a log output that a test can search.
type events struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (e *events) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.text.Write(p)
}

// has reports whether the event was logged.
func (e *events) has(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return bytes.Contains(e.text.Bytes(), []byte("name="+name))
}

// logged returns an option that makes a node write its events to e.
func logged(c *qt.C, e *events) func(*Settings) {
	logger, err := observe.NewLogger(observe.LoggerConfig{Output: e})
	c.Assert(err, qt.IsNil)
	return func(s *Settings) { s.Log = logger }
}

// certified returns an option that gives a node a certificate of ca and makes it
// trust the given authorities.
func certified(ca *securetest.Authority, trusted string) func(*Settings) {
	leaf := ca.Issue("node", securetest.Options{Lifetime: 24 * time.Hour})
	return func(s *Settings) { s.TLS = TLSSettings{Cert: leaf.Cert, Key: leaf.Key, CA: trusted} }
}

// relayFiling passes a filing on to the filing service.
func relayFiling(w http.ResponseWriter, _ *http.Request, call func(string, string, string) (*http.Response, error)) {
	resp, err := call("filing", http.MethodPost, "/file")
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Pollengauge-Outcome", resp.Header.Get("Pollengauge-Outcome"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
}

// The TLS connection between two nodes breaks after limit bytes: in the handshake, in
// its confirmation, in the request or in the response. Handshake bytes must not count
// as a sent request, or a filing that did not run could not be retried elsewhere.
// They must not hide a sent request either, or it could run twice.
func TestBrokenConnectionUnderTLS(t *testing.T) {
	seen := map[string]int{}
	for limit := 0; limit < 6600; limit += 97 {
		inFleet(t, func(f *fleet) {
			f.apply(filingProfiles)
			ca := securetest.NewAuthority("ours")
			front := f.add("front", "portal", 10, relayFiling, certified(ca, ca.PEM()))
			f.add("deep", "filing", 10, answerOK, certified(ca, ca.PEM()))
			f.settle()
			f.net.SetFilter(func(from, to string) int {
				if from == "front" && to == "deep" {
					return limit
				}
				return -1
			})
			got := f.ask(front, http.MethodPost, "/file", "X-Operation", "op")
			f.c.Assert(got.err, qt.IsNil)
			runs := f.runs.of("filing", "op")
			f.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("limit %d: %d runs", limit, runs))
			switch got.outcome {
			case "not-run":
				f.c.Check(runs, qt.Equals, 0, qt.Commentf("limit %d", limit))
			case "complete":
				f.c.Check(got.body, qt.Equals, "answer to op", qt.Commentf("limit %d", limit))
			}
			seen[got.outcome]++
		})
	}
	qt.New(t).Check(seen["not-run"] > 0 && seen["unknown"] > 0 && seen["complete"] > 0, qt.IsTrue, qt.Commentf("%v", seen))
}

// The other nodes no longer trust a node's certificate, for example after a key
// change that missed this node. Its caller must get not-run, because no byte of the
// filing was accepted, so that the filing can be sent through another node; with
// unknown it would be stuck. The other nodes must log the rejected peer and give it
// no call.
func TestRefusedCertificateProvesNotRun(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		ca, old := securetest.NewAuthority("ours"), securetest.NewAuthority("old")
		dir := f.t.TempDir()
		write := func(trusted string) TLSSettings { return writeTLS(f.c, dir, ca, trusted) }
		eventLog := &events{}
		front := f.add("front", "portal", 10, relayFiling, certified(old, ca.PEM()+old.PEM()))
		f.add("deep", "filing", 10, answerOK, logged(f.c, eventLog), func(s *Settings) { s.TLS = write(ca.PEM() + old.PEM()) })
		f.settle()
		f.c.Assert(f.ask(front, http.MethodPost, "/file", "X-Operation", "before").outcome, qt.Equals, "complete")
		write(ca.PEM())
		time.Sleep(6 * time.Second)
		// Gossip continues on connections opened under the old trust, so the target
		// is still known and the call has to dial.
		front.peers.CloseIdleConnections()
		front.links.CloseIdle()
		f.c.Check(eventLog.has("tls-key-changed"), qt.IsTrue)
		got := f.ask(front, http.MethodPost, "/file", "X-Operation", "after")
		f.c.Check(got.outcome, qt.Equals, "not-run")
		f.c.Check(f.runs.of("filing", "after"), qt.Equals, 0)
		f.settle() // the other side may log it after the caller's response
		f.c.Check(eventLog.has("peer-refused"), qt.IsTrue)
	})
}

// A node drains under TLS. Its keys must reach the successor through the handover,
// which dials the peer listener separately: a repeated filing must then get the
// stored response and not run again.
func TestHandoverUnderTLS(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.apply(filingProfiles)
		ca := securetest.NewAuthority("ours")
		first := f.add("first", "filing", 10, answerOK, certified(ca, ca.PEM()))
		second := f.add("second", "filing", 10, answerOK, certified(ca, ca.PEM()))
		f.settle()
		key := first.mint()
		f.c.Assert(f.ask(first, http.MethodPost, "/file", "X-Operation", "op", "Idempotency-Key", key).outcome, qt.Equals, "complete")
		f.c.Assert(first.Drain(f.t.Context()), qt.IsNil)
		f.settle()
		got := f.ask(second, http.MethodPost, "/file", "X-Operation", "op", "Idempotency-Key", key)
		f.c.Check(got.outcome, qt.Equals, "complete")
		f.c.Check(f.runs.of("filing", "op"), qt.Equals, 1)
	})
}

// The TLS settings are incomplete, or the key is wrong. The node must not start
// without TLS, and the error must not show the key.
func TestTLSSettingsRefused(t *testing.T) {
	c := qt.New(t)
	leaf := securetest.NewAuthority("ours").Issue("node", securetest.Options{})
	other := securetest.NewAuthority("theirs")
	for _, tls := range []TLSSettings{{Cert: leaf.Cert}, {Cert: leaf.Cert, Key: leaf.Key}, {Name: "x"}, {Cert: leaf.Cert, Key: leaf.Key, CA: other.PEM()}} {
		settings := DefaultSettings()
		settings.Service = "portal"
		settings.TLS = tls
		_, err := New(settings)
		c.Assert(err, qt.ErrorAs, new(*SettingsError))
		text, _ := json.Marshal(err)
		c.Check(string(text), qt.Not(qt.Contains), "BEGIN")
		c.Check(err.Error(), qt.Not(qt.Contains), "BEGIN")
	}
}

// writeTLS writes a certificate of ca, its key and the trusted authorities to files
// in dir.
func writeTLS(c *qt.C, dir string, ca *securetest.Authority, trusted string) TLSSettings {
	leaf := ca.Issue("node", securetest.Options{Lifetime: 24 * time.Hour})
	tls := TLSSettings{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for path, text := range map[string]string{tls.Cert: leaf.Cert, tls.Key: leaf.Key, tls.CA: trusted} {
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	return tls
}
