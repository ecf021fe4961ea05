package atmostonce_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	"pollengauge.dev/atmostonce"
)

// A filing is presented twice and sent to the upstream once.
func Example() {
	random := rand.NewChaCha8([32]byte{1})
	table, err := atmostonce.NewTable(atmostonce.Config{
		Service:     "filing",
		Incarnation: atmostonce.NewIncarnation(random),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	key := table.Mint().String()
	for range 2 {
		verdict, err := table.Begin(context.Background(), atmostonce.Presentation{Key: key})
		switch {
		case err != nil:
			fmt.Println(err)
		case verdict.Kind == atmostonce.Replay:
			fmt.Printf("replayed: %s\n", verdict.Answer.Body)
		case verdict.Kind == atmostonce.RunNow:
			defer verdict.Run.Close()
			if err := verdict.Run.Dispatched(); err != nil {
				fmt.Println(err)
				return
			}
			fmt.Println("sent to the upstream")
			_ = verdict.Run.Done(atmostonce.Answer{Status: 201, Body: []byte("filed")})
		}
	}
	// Output:
	// sent to the upstream
	// replayed: filed
}
