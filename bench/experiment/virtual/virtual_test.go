package virtual

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimeIsVirtual(t *testing.T) {
	c := qt.New(t)
	var group sync.WaitGroup
	took := make([]time.Duration, 3)
	for i := range took {
		group.Go(func() {
			Run(func() {
				start := time.Now()
				var inner sync.WaitGroup
				inner.Go(func() { time.Sleep(time.Duration(i+1) * time.Hour) })
				inner.Wait()
				took[i] = time.Since(start)
			})
		})
	}
	group.Wait()
	c.Check(took, qt.DeepEquals, []time.Duration{time.Hour, 2 * time.Hour, 3 * time.Hour})
}
