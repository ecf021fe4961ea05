package workloads

import (
	"io/fs"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/bench/experiment/bound"
	"pollengauge.dev/bench/experiment/play"
	"pollengauge.dev/bench/experiment/workload"
)

func parsed(c *qt.C, name string) *workload.File {
	data, err := Files.ReadFile(name)
	c.Assert(err, qt.IsNil)
	file, err := workload.Parse(data)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
	return file
}

// A user copies a file and changes it. Each must be accepted in all its variants,
// and have something to earn.
func TestFilesAreUsable(t *testing.T) {
	c := qt.New(t)
	names, err := fs.Glob(Files, "*.yaml")
	c.Assert(err, qt.IsNil)
	c.Check(len(names) >= 6, qt.IsTrue)
	nodes := make(map[int]bool)
	for _, name := range names {
		file := parsed(c, name)
		c.Check(len(file.Variants()) > 1, qt.IsTrue, qt.Commentf("%s", name))
		for _, variant := range file.Variants() {
			w, err := file.Workload(variant)
			c.Assert(err, qt.IsNil)
			most, err := bound.Most(w, play.Begins(w, 1))
			c.Assert(err, qt.IsNil)
			c.Check(most > 0, qt.IsTrue, qt.Commentf("%s, %s", name, variant))
			nodes[w.Nodes()] = true
		}
	}
	c.Check(nodes[96] && nodes[560], qt.IsTrue)
}

// Every small file can be played. Two seconds of each show no more than that.
func TestSmallFilesPlay(t *testing.T) {
	const small = 12
	names, err := fs.Glob(Files, "*.yaml")
	qt.Assert(t, err, qt.IsNil)
	for _, name := range names {
		file := parsed(qt.New(t), name)
		w, err := file.Workload(file.Variants()[0])
		qt.Assert(t, err, qt.IsNil)
		if w.Nodes() > small {
			continue
		}
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w.Length, w.Warm, w.Load, w.Faults = 2*time.Second, time.Second, nil, nil
			r, err := play.Run(w, 1, func() bool { return false })
			c.Assert(err, qt.IsNil)
			c.Check(r.Worth > 0, qt.IsTrue)
			c.Check(r.RanTwice, qt.Equals, 0)
		})
	}
}
