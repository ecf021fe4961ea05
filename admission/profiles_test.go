package admission

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Callers make up profile names without end. Had each its own record, they would
// fill the memory of the node: what comes beyond the bound shares one.
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

// Calls of a profile that is new come at the same time. With a record each, what
// one of them measured would be lost.
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
