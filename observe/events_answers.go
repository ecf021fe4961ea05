package observe

// Answers, requests and table states that a node could not handle as usual.
var (
	AnswerAborted   = event(4015, "answer-aborted", Warn, "An answer could not be finished; the connection was torn down so that it can't pass for complete.", "None, if callers go away; otherwise look at the upstream named by explain.")
	KeyState        = event(5013, "key-state", Error, "A key's run was ended in a way that its state does not allow; the recorded fate stands.", "Report it as a fault of pollengauge.")
	KeyUnwitnessed  = event(5014, "key-unwitnessed", Warn, "No other member was told of unrepeatable calls before they were dispatched; the calls went on.", "Check the members of this region. If this VM is lost before the calls end, look them up at the upstream.")
	LeaveUnheard    = event(3011, "leave-unheard", Warn, "The node left without any member having heard of it; they will suspect it instead.", "None.")
	BadRequest      = event(7013, "bad-request", Warn, "A request could not be understood and was refused as not run.", "Correct the caller.")
	TurnAwaited     = event(7015, "turn-awaited", Info, "A request stood behind others on its caller's connection for over half of its target; HTTP/1.1 answers in the order of the requests.", "Have the caller use more connections, or look at what made the answers before it late.")
	ServerComplaint = event(7014, "server-complaint", Debug, "The HTTP server complains about a connection.", noAction)
)
