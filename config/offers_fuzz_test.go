package config_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

// hearer is the part of Store that records the highest version known to exist.
type hearer interface {
	Hear(version uint64, at, now time.Time)
	Newest(now time.Time) (version uint64, at time.Time)
	Behind(now time.Time) bool
}

// newsCounts is how long a Store treats a version as existing after the last notice
// of it, the value of config.HeardFor.
const newsCounts = time.Minute

// news is a notice that a version existed at a certain time.
type news struct {
	version uint64
	at      time.Time
}

// reference is a plain model of a Store, without locks, pointers and encodings: it
// holds what the Store must hold after the same offers.
type reference struct {
	version uint64
	content byte
	source  config.Source
	// now is the current time, and heard lists all notices so far.
	now   time.Time
	heard []news
	// told lists the versions of which the subscriber must have been notified; it
	// is nil without a subscriber.
	told []uint64
}

// offered is one Set as the platform or a peer sends it. Sets with equal versions
// and different content are forks.
type offered struct {
	version uint64
	content byte
	source  config.Source
}

func (o offered) set() config.Set {
	set := config.Default()
	set.Version = o.version
	set.Comment = string('a' + rune(o.content))
	return set
}

// take applies o to the reference. It reports whether the Store must accept o, and
// whether the Store must report o as a fork.
func (r *reference) take(o offered) (taken, fork bool) {
	switch {
	case o.version > r.version:
		r.version, r.content, r.source = o.version, o.content, o.source
		if r.told != nil {
			r.told = append(r.told, o.version)
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
	opHear
	opWait
	opSubscribe
	opCancel
	opCount
)

// versionsDrawn is small, so that repeated versions, forks and lower versions are
// common.
const versionsDrawn = 12

// playOffers runs a script against a Store and the reference and compares them
// after each step.
func playOffers(t *testing.T, script []byte) {
	c := qt.New(t)
	store := config.NewStore()
	hears, _ := any(store).(hearer)
	want := reference{source: config.SourceDefault, now: time.Unix(1e9, 0)}
	var seen []uint64
	notify := func(now *config.Compiled) { seen = append(seen, now.Version()) }
	cancel := func() {}
	for step := 0; step+1 < len(script); step += 2 {
		op, content := script[step]%opCount, script[step]/opCount%3
		o := offered{version: uint64(script[step+1] % versionsDrawn), content: content, source: config.SourcePeer}
		switch op {
		case opOfferPlatform, opOfferPeer, opOfferSet:
			if op != opOfferPeer {
				o.source = config.SourcePlatform
			}
			offer(c, store, &want, o, op == opOfferSet)
		case opTruncated, opInvalid:
			refuse(c, store, o, op == opInvalid)
		case opHear:
			if hears != nil {
				const apart = newsCounts / 3
				hear(c, hears, &want, news{o.version, want.now.Add(-time.Duration(content) * apart)})
			}
		case opWait:
			const step = newsCounts / 10
			want.now = want.now.Add(time.Duration(o.version) * step)
		case opSubscribe:
			cancel()
			seen, want.told = nil, []uint64{want.version}
			cancel = store.Subscribe(notify)
		case opCancel:
			cancel()
			cancel = func() {}
			seen, want.told = nil, nil
		}
		c.Assert(seen, qt.DeepEquals, want.told)
		compare(c, store, hears, want)
	}
}

// offer offers o to the Store and compares the result with the reference.
func offer(c *qt.C, store *config.Store, want *reference, o offered, decoded bool) {
	c.Helper()
	var taken bool
	var err error
	if decoded {
		taken, err = store.OfferSet(o.set(), o.source)
	} else {
		var data []byte
		data, err = config.Encode(o.set())
		c.Assert(err, qt.IsNil)
		taken, err = store.Offer(data, o.source)
	}
	wantTaken, wantFork := want.take(o)
	c.Assert(taken, qt.Equals, wantTaken, qt.Commentf("%+v", o))
	var fork *config.ForkError
	c.Assert(errors.As(err, &fork), qt.Equals, wantFork, qt.Commentf("%+v: %v", o, err))
	if !wantFork {
		c.Assert(err, qt.IsNil)
	}
}

// hear reports a version to the Store and checks that the newest known version does
// not decrease and is at least the reported one.
func hear(c *qt.C, hears hearer, want *reference, heard news) {
	c.Helper()
	before, _ := hears.Newest(want.now)
	hears.Hear(heard.version, heard.at, want.now)
	want.heard = append(want.heard, heard)
	after, _ := hears.Newest(want.now)
	c.Assert(after >= max(before, heard.version), qt.IsTrue, qt.Commentf("%d before, heard of %d, %d after", before, heard.version, after))
}

// refuse offers data that the Store must reject: a truncated encoding, or a Set
// without the mandatory default profile.
func refuse(c *qt.C, store *config.Store, o offered, invalid bool) {
	c.Helper()
	set := o.set()
	data, err := config.Encode(set)
	c.Assert(err, qt.IsNil)
	if !invalid {
		taken, err := store.Offer(data[:len(data)-1-int(o.content)], o.source)
		var encoding *config.EncodingError
		c.Assert(errors.As(err, &encoding), qt.IsTrue, qt.Commentf("%T", err))
		c.Assert(taken, qt.IsFalse)
		return
	}
	set.Profiles, set.Assignments = nil, nil
	taken, err := store.OfferSet(set, o.source)
	var wrong *config.ValidationError
	c.Assert(errors.As(err, &wrong), qt.IsTrue, qt.Commentf("%T", err))
	c.Assert(taken, qt.IsFalse)
}

func compare(c *qt.C, store *config.Store, hears hearer, want reference) {
	c.Helper()
	status := store.Status()
	c.Assert(status.Version, qt.Equals, want.version)
	c.Assert(status.Source, qt.Equals, want.source)
	c.Assert(status.Heard, qt.Equals, want.source != config.SourceDefault)
	c.Assert(store.Current().Version(), qt.Equals, want.version)
	version, data := store.Encoded()
	c.Assert(version, qt.Equals, want.version)
	if want.version > 0 {
		kept, err := config.Encode(offered{version: want.version, content: want.content}.set())
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, string(kept))
	}
	if hears == nil {
		return
	}
	newest, _ := hears.Newest(want.now)
	c.Assert(hears.Behind(want.now), qt.Equals, newest > want.version)
	real := newest == want.version || slices.ContainsFunc(want.heard, func(n news) bool {
		return n.version == newest && want.now.Sub(n.at) < newsCounts
	})
	c.Assert(real && newest >= want.version, qt.IsTrue, qt.Commentf("newest %d, in force %d", newest, want.version))
}

// offerScripts cover higher, lower and repeated versions, forks, rejected Sets and
// notices.
var offerScripts = [][]byte{
	{opOfferPlatform, 1, opOfferPeer, 3, opOfferPlatform, 2, opOfferPeer, 3},
	{opSubscribe, 0, opOfferPeer, 5, opOfferPeer + opCount, 5, opOfferSet, 4, opOfferSet, 6},
	{opHear, 4, opTruncated, 4, opOfferPeer, 3, opInvalid, 7, opHear, 2, opOfferPeer, 4},
	{opHear + opCount, 9, opWait, 6, opHear, 5, opOfferSet, 3, opHear + 2*opCount, 7, opWait, 3, opHear, 4},
	{opOfferPeer, 0, opOfferPeer + opCount, 0, opSubscribe, 0, opOfferSet, 9, opCancel, 0, opOfferSet, 11},
}

// Sets arrive from the platform and from peers in any order, some late, forked or
// invalid. The Store must always have the highest valid version active, notify
// every subscriber of it, never return to a lower one, and report separately a
// higher version that is only known to exist.
func TestOffersAgreeWithAReference(t *testing.T) {
	for _, script := range offerScripts {
		playOffers(t, script)
	}
}

// FuzzOffers does the same as TestOffersAgreeWithAReference with fuzzed scripts.
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
