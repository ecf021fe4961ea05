package config_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// versionTracker is the part of Store that records the highest version known to exist.
type versionTracker interface {
	RecordVersionNotice(version uint64, at, now time.Time)
	Newest(now time.Time) (version uint64, at time.Time)
	IsBehind(now time.Time) bool
}

// noticeLifetime is how long a Store treats a version as existing after the last notice
// of it, the value of config.KnownVersionLifetime.
const noticeLifetime = time.Minute

// notice reports that a version was known to exist at a certain time.
type notice struct {
	version uint64
	at      time.Time
}

// referenceStore is a plain model of a Store, without locks, pointers and encodings: it
// holds what the Store must hold after the same offers.
type referenceStore struct {
	version uint64
	content byte
	source  config.Source
	// now is the current time, and notices lists all notices so far.
	now     time.Time
	notices []notice
	// notified lists the versions of which the subscriber must have been notified; it
	// is nil without a subscriber.
	notified []uint64
}

// offeredSet is one Set as the platform or a peer sends it. Sets with equal versions
// and different content are forks.
type offeredSet struct {
	version uint64
	content byte
	source  config.Source
}

func (o offeredSet) set() config.Set {
	set := config.Default()
	set.Version = o.version
	set.Comment = string('a' + rune(o.content))
	return set
}

// accept applies o to the reference. It reports whether the Store must accept o, and
// whether the Store must report o as a fork.
func (r *referenceStore) accept(o offeredSet) (accepted, fork bool) {
	switch {
	case o.version > r.version:
		r.version, r.content, r.source = o.version, o.content, o.source
		if r.notified != nil {
			r.notified = append(r.notified, o.version)
		}
		return true, false
	case o.version == r.version && r.version > 0:
		return false, o.content != r.content
	}
	return false, false
}

// The operations of a fuzzed script. Each takes two bytes: the first modulo opCount is the
// operation and its quotient selects the content, the second selects the version.
const (
	opOfferPlatform = iota
	opOfferPeer
	opOfferSet
	opTruncated
	opInvalid
	opNotice
	opWait
	opSubscribe
	opCancel
	opCount
)

// versionCount is small, so that repeated versions, forks and lower versions are
// common.
const versionCount = 12

// playOffers runs a script against a Store and the reference and compares them
// after each step.
func playOffers(t *testing.T, script []byte) {
	c := qt.New(t)
	store := config.NewStore()
	tracker, _ := any(store).(versionTracker)
	want := referenceStore{source: config.SourceDefault, now: time.Unix(1e9, 0)}
	var seen []uint64
	notify := func(active *config.Compiled) { seen = append(seen, active.Version()) }
	cancel := func() {}
	for step := 0; step+1 < len(script); step += 2 {
		op, content := script[step]%opCount, script[step]/opCount%3
		o := offeredSet{version: uint64(script[step+1] % versionCount), content: content, source: config.SourcePeer}
		switch op {
		case opOfferPlatform, opOfferPeer, opOfferSet:
			if op != opOfferPeer {
				o.source = config.SourcePlatform
			}
			offer(c, store, &want, o, op == opOfferSet)
		case opTruncated, opInvalid:
			offerUnusable(c, store, o, op == opInvalid)
		case opNotice:
			if tracker != nil {
				const apart = noticeLifetime / 3
				reportVersion(c, tracker, &want, notice{o.version, want.now.Add(-time.Duration(content) * apart)})
			}
		case opWait:
			const step = noticeLifetime / 10
			want.now = want.now.Add(time.Duration(o.version) * step)
		case opSubscribe:
			cancel()
			seen, want.notified = nil, []uint64{want.version}
			cancel = store.Subscribe(notify)
		case opCancel:
			cancel()
			cancel = func() {}
			seen, want.notified = nil, nil
		}
		c.Assert(seen, qt.DeepEquals, want.notified)
		checkAgainstReference(c, store, tracker, want)
	}
}

// offer offers o to the Store and compares the result with the reference.
func offer(c *qt.C, store *config.Store, want *referenceStore, o offeredSet, decoded bool) {
	c.Helper()
	var accepted bool
	var err error
	if decoded {
		accepted, err = store.OfferSet(o.set(), o.source)
	} else {
		var data []byte
		data, err = config.Encode(o.set())
		c.Assert(err, qt.IsNil)
		accepted, err = store.Offer(data, o.source)
	}
	wantAccepted, wantFork := want.accept(o)
	c.Assert(accepted, qt.Equals, wantAccepted, qt.Commentf("%+v", o))
	var fork *config.ForkError
	c.Assert(errors.As(err, &fork), qt.Equals, wantFork, qt.Commentf("%+v: %v", o, err))
	if !wantFork {
		c.Assert(err, qt.IsNil)
	}
}

// reportVersion reports a version to the Store and checks that the newest known version does
// not decrease and is at least the reported one.
func reportVersion(c *qt.C, tracker versionTracker, want *referenceStore, reported notice) {
	c.Helper()
	before, _ := tracker.Newest(want.now)
	tracker.RecordVersionNotice(reported.version, reported.at, want.now)
	want.notices = append(want.notices, reported)
	after, _ := tracker.Newest(want.now)
	c.Assert(after >= max(before, reported.version), qt.IsTrue, qt.Commentf("%d before, notice of %d, %d after", before, reported.version, after))
}

// offerUnusable offers data that the Store must reject: a truncated encoding, or a Set
// without the mandatory default profile.
func offerUnusable(c *qt.C, store *config.Store, o offeredSet, invalid bool) {
	c.Helper()
	set := o.set()
	data, err := config.Encode(set)
	c.Assert(err, qt.IsNil)
	if !invalid {
		accepted, err := store.Offer(data[:len(data)-1-int(o.content)], o.source)
		var encoding *config.EncodingError
		c.Assert(errors.As(err, &encoding), qt.IsTrue, qt.Commentf("%T", err))
		c.Assert(accepted, qt.IsFalse)
		return
	}
	set.Profiles, set.Assignments = nil, nil
	accepted, err := store.OfferSet(set, o.source)
	var validation *config.ValidationError
	c.Assert(errors.As(err, &validation), qt.IsTrue, qt.Commentf("%T", err))
	c.Assert(accepted, qt.IsFalse)
}

func checkAgainstReference(c *qt.C, store *config.Store, tracker versionTracker, want referenceStore) {
	c.Helper()
	status := store.Status()
	c.Assert(status.Version, qt.Equals, want.version)
	c.Assert(status.Source, qt.Equals, want.source)
	c.Assert(status.HasStoredSet, qt.Equals, want.source != config.SourceDefault)
	c.Assert(store.Current().Version(), qt.Equals, want.version)
	version, data := store.Encoded()
	c.Assert(version, qt.Equals, want.version)
	if want.version > 0 {
		wantData, err := config.Encode(offeredSet{version: want.version, content: want.content}.set())
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, string(wantData))
	}
	if tracker == nil {
		return
	}
	newest, _ := tracker.Newest(want.now)
	c.Assert(tracker.IsBehind(want.now), qt.Equals, newest > want.version)
	known := newest == want.version || slices.ContainsFunc(want.notices, func(n notice) bool {
		return n.version == newest && want.now.Sub(n.at) < noticeLifetime
	})
	c.Assert(known && newest >= want.version, qt.IsTrue, qt.Commentf("newest %d, active %d", newest, want.version))
}

// offerScripts cover higher, lower and repeated versions, forks, rejected Sets and
// notices.
var offerScripts = [][]byte{
	{opOfferPlatform, 1, opOfferPeer, 3, opOfferPlatform, 2, opOfferPeer, 3},
	{opSubscribe, 0, opOfferPeer, 5, opOfferPeer + opCount, 5, opOfferSet, 4, opOfferSet, 6},
	{opNotice, 4, opTruncated, 4, opOfferPeer, 3, opInvalid, 7, opNotice, 2, opOfferPeer, 4},
	{opNotice + opCount, 9, opWait, 6, opNotice, 5, opOfferSet, 3, opNotice + 2*opCount, 7, opWait, 3, opNotice, 4},
	{opOfferPeer, 0, opOfferPeer + opCount, 0, opSubscribe, 0, opOfferSet, 9, opCancel, 0, opOfferSet, 11},
}

// Sets arrive from the platform and from peers in any order, some late, forked or
// invalid. The Store must always have the highest valid version active, notify
// every subscriber of it, never return to a lower one, and report separately a
// higher version that is only known to exist.
func TestOffersAgreeWithReference(t *testing.T) {
	for _, script := range offerScripts {
		playOffers(t, script)
	}
}

// FuzzOffers does the same as TestOffersAgreeWithReference with fuzzed scripts.
func FuzzOffers(f *testing.F) {
	for _, script := range offerScripts {
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		if len(script) > 400 {
			return
		}
		playOffers(t, script)
	})
}
