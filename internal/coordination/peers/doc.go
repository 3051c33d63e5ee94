// Package peers decides which other host a host polls for the objects that it has read
// from the store, and how many hosts poll the same one. Hosts need no agreement for it:
// each polls the first seed that answers, a host with many pollers redirects further
// ones to one of these, and a host without a peer reads the store. Too many hosts that
// read the store cost calls but never correctness.
package peers
