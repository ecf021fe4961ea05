package routing

import (
	"fmt"
	"testing"
)

// BenchmarkSetTargets measures what the change of one member costs each node.
func BenchmarkSetTargets(b *testing.B) {
	for _, size := range []int{86, 560} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			zones := []string{"a", "b", "c"}
			targets := make([]Target, size)
			for i := range targets {
				targets[i] = target(fmt.Sprint("member", i), zones[i%3])
				targets[i].Service = fmt.Sprint("service", i%25)
			}
			r := NewRouter(Config{Node: "n", Zone: "a", Region: "hu", Start: start})
			for i := 0; b.Loop(); i++ {
				targets[i%size].Revision++
				r.SetTargets(targets)
			}
		})
	}
}
