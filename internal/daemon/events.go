package daemon

// Names of log events. They are stable; the core adds its own, such as
// "leave_announced".
const (
	// LogStarted is logged once everything is open.
	LogStarted = "started"
	// LogStopped is the last event.
	LogStopped = "stopped"
	// LogStartFailed is logged when a socket can't be opened.
	LogStartFailed = "start_failed"
	// LogLeaveRequested is logged when a signal starts a graceful shutdown.
	LogLeaveRequested = "leave_requested"
	// LogServerFailed is logged when a server ends by itself.
	LogServerFailed = "server_failed"
)
