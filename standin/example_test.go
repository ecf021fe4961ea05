package standin_test

import (
	"context"
	"fmt"

	"pollengauge.dev/objects"
	"pollengauge.dev/standin"
)

// A write whose response is lost is ambiguous although it took effect.
func Example() {
	store := standin.NewMemory()
	store.SetFaults(standin.Faults{DropNext: 1})
	_, err := store.Create(context.Background(), "config", "main", []byte("v1"))
	if _, ok := err.(*objects.AmbiguousError); ok {
		o, _ := store.Get(context.Background(), "config", "main")
		fmt.Println("no answer, stored:", string(o.Value))
	}
	// Output: no answer, stored: v1
}
