package peerlink

// maxIdleWorkers bounds the goroutines that wait for a call. Each keeps its stack, which is
// some kilobytes after a call.
const maxIdleWorkers = 64

// workers is a pool of goroutines that run handlers. A goroutine that is reused doesn't grow
// its stack again.
type workers struct {
	handler func(*Exchange)
	calls   chan *Exchange
	idle    chan struct{}
	closed  chan struct{}
}

func (w *workers) init(handler func(*Exchange)) {
	w.handler = handler
	w.calls = make(chan *Exchange)
	w.idle = make(chan struct{}, maxIdleWorkers)
	w.closed = make(chan struct{})
}

// run runs the handler of a call in a goroutine that waits, or in a new one.
func (w *workers) run(ex *Exchange) {
	select {
	case w.calls <- ex:
	default:
		go w.work(ex)
	}
}

func (w *workers) work(ex *Exchange) {
	for {
		w.handler(ex)
		ex.c.finish(ex)
		ex = nil // what it refers to is not kept by a goroutine that waits
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case ex = <-w.calls:
			<-w.idle
		case <-w.closed:
			return
		}
	}
}

// close ends the goroutines that wait. It must be called once.
func (w *workers) close() { close(w.closed) }
