package daemon

// Names of log events. They are stable for tools that match them. The control machine logs
// events of its own, such as "leave_announced".
const (
	// LogStarted is logged once all sockets are open.
	LogStarted = "started"
	// LogStopped is the last event of a graceful shutdown.
	LogStopped = "stopped"
	// LogStartFailed is logged when a socket can't be opened.
	LogStartFailed = "start_failed"
	// LogLeaveRequested is logged when a signal starts a graceful shutdown.
	LogLeaveRequested = "leave_requested"
	// LogServerFailed is logged when a server ends without having been closed.
	LogServerFailed = "server_failed"
)
