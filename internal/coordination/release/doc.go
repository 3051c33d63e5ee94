// Package release implements one entry host's part in the agreement on releases.
//
// The platform's head object is the commit point: a conditional update of it
// accepts or refuses the one pending note. Everything else only prepares that
// update or distributes its outcome; it may be lost, repeated or delayed without
// harm:
//
//   - A few watchers in each failure domain read the head and send digests of it
//     to their peers.
//   - Every host checks the pending note, keeps the release that it would produce
//     and sends a staging report to the watchers of its domain, which write one
//     status object for the domain.
//   - A coordinator, chosen by rendezvous hashing and replaced after a timeout,
//     updates the head.
//   - Each host adopts an accepted release. The version in force on a host never
//     decreases.
//
// The machine is pure: the time and the random source are passed in.
package release
