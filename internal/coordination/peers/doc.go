// Package peers decides which other hosts a host asks for what they have read from
// the store, and how many hosts it answers itself. Hosts agree on nothing for it:
// each asks the first seed that answers, a host that many ask names one of them to
// ask instead, and a host without anyone to ask reads the store. Too many readers
// cost calls, never correctness.
package peers
