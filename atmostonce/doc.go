// Package atmostonce dispatches a call that carries an idempotency key at most
// once. It needs neither leases nor synchronized clocks.
//
// # Ownership of keys
//
// Every node process runs under a random Incarnation. A minted key names the
// only incarnation that may ever dispatch it: its owner. The owner records the
// key's fate in a Table, and every other node forwards the call to the owner. A
// restarted node has a new incarnation. If the owner of a key no longer exists,
// the fate of the key is unknown and the key never runs again. A process pause,
// a store outage or an expired lease can't cause a second run, because only the
// owner's memory permits a run.
//
// A key that the caller supplied names no owner. The first node that receives
// it creates an object for it in the platform's store (ClaimStore). The create
// succeeds for one node only, and that node becomes the owner.
//
// Some fields, types and methods say Home for the owner.
//
// # Use
//
// Call Begin before admission control. A rejection by admission then proves
// that the call with this key has not run:
//
//	verdict, err := table.Begin(ctx, atmostonce.Presentation{Key: key})
//	switch {
//	case err != nil: // *RefusedError: respond with its Outcome and Reason
//	case verdict.Kind == atmostonce.Replay: // respond with verdict.Answer
//	case verdict.Kind == atmostonce.Forward: // send to verdict.Owner
//	case verdict.Kind == atmostonce.RunNow:
//		defer verdict.Run.Close()
//		// admission; if it rejects the call: verdict.Run.NotRun()
//		if err := verdict.Run.Dispatched(); err != nil { ... } // must not send
//		// send; then verdict.Run.Done(answer) or verdict.Run.Unknown(reason)
//	}
//
// # Guarantees
//
// A caller-supplied key is dispatched at most once during Config.Window, a
// minted key at most once for all time. An error with outcome not-run is
// returned only if no presentation of the key had been dispatched at that
// moment. Fates are never evicted inside the window: a full table rejects new
// keys. If a response is too large to store, later presentations get the outcome
// unknown, never complete.
//
// # Concurrency
//
// All methods of Table, Run and Visit may be called concurrently. A Collector
// must be used by one goroutine at a time.
package atmostonce
