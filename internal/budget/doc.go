// Package budget bounds the memory and the connections that clients can make a process hold.
//
// Each connection has a Holder, which takes bytes of the Budget before the memory that they stand for is
// allocated, at what it costs, and gives them back on every way out. Where the budget is exhausted, room is made
// by evicting holders: first the one whose bytes times the time it has held them is largest. A client that sends
// little and ends soon has next to none, so that it never waits behind one that does not end. A holder whose
// request is complete is pinned, and is never evicted.
package budget
