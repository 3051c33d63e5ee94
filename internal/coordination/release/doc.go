// Package release is one entry host's part in agreeing on releases.
//
// The platform's head object is the commit point: a conditional update of it
// accepts or refuses the one pending note. All else only prepares that update
// or spreads its outcome, and may be lost, repeated or late without harm:
//
//   - a few watchers in each failure domain read the head and tell their peers;
//   - every host checks the pending note, keeps the release it would make, and
//     answers to the watchers of its domain, which write one status object;
//   - a driver, chosen by hash and replaced after a timeout, updates the head;
//   - each host adopts an accepted release, and its version never falls.
//
// The machine is pure: the time and the random source are passed in.
package release
