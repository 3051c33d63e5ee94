package shed

import "time"

// newFlows is what a limiter counts of new flows: from the SYN to the answer to their first
// request. Requests on open flows, which can't be refused, are left out.
type newFlows struct {
	inFlight int
	// answered is the number of first requests answered in this window, rejected the number
	// of those that the target rejected, waited the sum of their times.
	answered int
	rejected int
	waited   time.Duration
}

// AddNewFlow changes the number of new flows without an answer to their first request.
func (l *Limiter) AddNewFlow(n int) { l.newFlows.inFlight += n }

// record counts an answer if it is to the first request of a new flow.
func (f *newFlows) record(a Answer, rejected bool) {
	if !a.First {
		return
	}
	f.answered++
	f.waited += a.Took
	if rejected {
		f.rejected++
	}
}

func (f *newFlows) startWindow() { *f = newFlows{inFlight: f.inFlight} }

// rejectedShare returns the fraction of first requests that were rejected.
func (f *newFlows) rejectedShare() float64 {
	if f.answered == 0 {
		return 0
	}
	return float64(f.rejected) / float64(f.answered)
}

// startLimit returns the limit of new flows in flight at the start of an overload: as many as
// were executed in a window of the given length would be, if none of them waited longer than
// is allowed, in seconds.
func (f *newFlows) startLimit(length time.Duration, allowedWait float64) float64 {
	inFlight := min(f.waited.Seconds(), allowedWait*float64(f.answered)) / length.Seconds()
	return max(inFlight*(1-f.rejectedShare()), minLimit)
}

// gradient returns the factor by which a window changes the limit: to where heldRejectedShare
// of the first requests are rejected. Without any answer there is no sign against more.
func (f *newFlows) gradient() float64 {
	return (1 - f.rejectedShare()) / (1 - heldRejectedShare)
}
