package observe

// requestCutLinesPerSecond allows a line for each request that the end of a drain cuts.
const requestCutLinesPerSecond = 100

// Events on aborted responses, malformed or delayed requests, key states, and
// leave notices without acknowledgement.
var (
	AnswerAborted   = defineEvent(4015, "answer-aborted", Warn, "An answer could not be finished; the connection was torn down so that it can't pass for complete.", "None, if callers go away; otherwise look at the upstream named by explain.")
	RequestCut      = defineLimited(4030, "request-cut", Warn, requestCutLinesPerSecond, "This node closed a connection without a complete response to a request that it had read. The line gives the request's id, the cause and the request's age.", "By cause: OPERATIONS, \"A connection ended without a response\".")
	KeyState        = defineEvent(5013, "key-state", Error, "A visit of a keyed call ended with a change of state that the key's current state does not allow; the recorded fate stands.", "Report it as a fault of pollengauge.")
	KeyUnwitnessed  = defineEvent(5014, "key-unwitnessed", Warn, "No other member confirmed the notes of unrepeatable calls before their dispatch; the calls were dispatched all the same.", "Check the members of this region. If this VM is lost before the calls end, look them up at the upstream.")
	LeaveUnheard    = defineEvent(3011, "leave-unheard", Warn, "The node left and no member confirmed its leave notice; the members will suspect it instead.", "None.")
	HeadRefused     = defineEvent(7017, "head-refused", Warn, "The head of a request was refused as not run before it was complete or parsed: it was late or malformed, or there was no memory for it beside the large heads of other requests.", "Find out who sends such heads; the line names the listener and the reason.")
	BadRequest      = defineEvent(7013, "bad-request", Warn, "A request could not be understood and was refused as not run.", "Correct the caller.")
	TurnAwaited     = defineEvent(7015, "turn-awaited", Info, "A request was queued behind earlier requests on its caller's connection for at least half of the time until its deadline; HTTP/1.1 sends responses in the order of the requests.", "Have the caller use more connections, or find out why the earlier responses were late.")
	ServerComplaint = defineEvent(7014, "server-complaint", Debug, "The HTTP server complains about a connection.", noAction)
)
