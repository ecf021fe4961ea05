package admission

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Callers send any number of invented profile names. If each name had a record
// of its own, they would fill the node's memory; names beyond the bound share
// one record.
func TestMadeUpProfilesShareARecord(t *testing.T) {
	c := qt.New(t)
	var profiles profileMap[string]
	newRecord := func(name string) *string { return &name }
	for i := range 2 * maxProfiles {
		profiles.add(strconv.Itoa(i), newRecord)
	}
	c.Check(profiles.all(), qt.HasLen, maxProfiles+1)
	c.Check(*profiles.add("one more", newRecord), qt.Equals, otherProfiles)
	c.Check(profiles.find("one more"), qt.IsNil)
	c.Check(*profiles.find("0"), qt.Equals, "0")
}

// Several calls of a new profile arrive at the same time. If each created its
// own record, the measurements of all but one would be lost.
func TestCallsAtTheSameTimeGetOneRecord(t *testing.T) {
	c := qt.New(t)
	var profiles profileMap[int]
	var made atomic.Int64
	var calls sync.WaitGroup
	records := make([]*int, 8)
	for i := range records {
		calls.Go(func() {
			records[i] = profiles.add("browse", func(string) *int {
				made.Add(1)
				return new(int)
			})
		})
	}
	calls.Wait()
	c.Check(made.Load(), qt.Equals, int64(1))
	for _, record := range records {
		c.Check(record == profiles.find("browse"), qt.IsTrue)
	}
}
