package objects_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

// UpdateSettled applies a change once although the first response is lost, and
// a watcher receives the change.
func Example() {
	server := standin.New(standin.Options{})
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer server.Close()
	client, err := store.New(objects.Options{Endpoint: "http://" + addr})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	server.SetFaults(standin.Faults{DropNext: 1})
	_, err = objects.UpdateSettled(ctx, client, "config", "main",
		func(o objects.Object) ([]byte, error) { return append(o.Value, "change-1;"...), nil },
		func(o objects.Object) bool { return strings.Contains(string(o.Value), "change-1;") })
	fmt.Println("error:", err)

	objects.RunWatch(ctx, client, "config", func(e objects.Event) {
		fmt.Println(e.Type, e.Object.Name, string(e.Object.Value))
		cancel()
	})
	// Output:
	// error: <nil>
	// put main change-1;
}
