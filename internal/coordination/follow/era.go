package follow

import "github.com/guavawharf/guavawharf/internal/state/objects"

// maxOldAnswers is the number of consecutive answers of the store from an earlier era
// after which that era is taken for the current one: the era known was wrong.
const maxOldAnswers = 3

// startList makes the next call the first one of a list.
func (f *Follower) startList() {
	f.listedKeys = make(map[string]bool)
	f.listFrom = ""
	f.restoredObjects = nil
}

// fromEarlierEra reports whether an answer of the store is from before it was restored
// last, and so must not be used.
func (f *Follower) fromEarlierEra(era objects.Era) bool {
	if era == 0 || era >= f.era {
		f.oldAnswers = 0
		return false
	}
	f.oldAnswers++
	return f.oldAnswers < maxOldAnswers
}

// continuesFromKnown reports whether the store's answer can be applied to what is known.
// If not, a list must replace it: the store no longer has the history, or it was restored
// from a backup.
func (f *Follower) continuesFromKnown(call objects.Call, outcome objects.Outcome) bool {
	sameEra := f.enterEra(call, outcome.Era)
	switch {
	case !sameEra || outcome.Result == objects.ResultExpired:
		return false
	case call.Verb == objects.VerbWatch && outcome.Page.Revision < call.After:
		// A store without an era was restored, or the answer belongs to another call.
		f.restored = f.listed
		return false
	}
	if f.listed && call.Verb == objects.VerbList && call.From == "" && outcome.Page.Revision < f.revision {
		f.restored = true
	}
	return true
}

// enterEra records the era of an answer and reports whether the answer can be applied. In
// a new era only the first page of a list can. A list that follows a list of an earlier
// era replaces all that is known.
func (f *Follower) enterEra(call objects.Call, era objects.Era) bool {
	if era == 0 || era == f.era {
		return true
	}
	// A page of the list that an earlier era has interrupted may be known, too.
	f.restored = f.listed || f.era != 0
	f.era = era
	f.oldAnswers = 0
	return call.Verb == objects.VerbList && call.From == ""
}
