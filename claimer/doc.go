// Package claimer guarantees that a non-idempotent call runs at most once. It
// writes one table row per caller, service and idempotency key. The row is in one
// of four states:
//
//	claimed → sent → done
//	claimed → not-run, sent → not-run (the endpoint refused the call)
//
// Each transition is a conditional write on the row's version. Only the attempt
// named in the row proceeds, and it sends the call only after the state sent is
// committed. If the answer to a write is lost, the row is read back to learn its
// effect.
//
// # When not-run is reported
//
// A row stores its hold: how long its attempt may stay in claimed. The attempt
// measures the hold from before it wrote the row. Another attempt takes the row
// over only after it has observed it unchanged for the hold plus a guard, by its
// own clock, or after the lease of the attempt's node expired.
//
// An attempt that has not sent the call may report not-run without the table as
// long as neither the hold has passed nor the lease that its node had when it
// wrote the row. After that it first writes not-run to the row, and reports
// unknown if it cannot.
//
// # Writes
//
// A non-idempotent call (a posting) needs three row writes: claimed, sent and
// done. A node commits them in groups: one commit is in flight at a time, on
// average one starts per interval, and it carries up to maxGroup rows. With the
// default interval of 30 ms a node makes at most 33 commits per second, and 8
// entry hosts make 267, below the table's limit of 300 per second. A commit of 64
// rows carries 64/3 postings: 8 hosts × 33 commits/s × 64 rows / 3 = 5,600
// postings/s at most. Under load a posting waits for 3 intervals, 90 ms. On an
// idle node the burst is available, and each step waits only for the window, 15 ms
// in all.
//
// A conflict on one row costs its group one more commit. The first attempt of a
// key reads nothing, so the table's limit of 2,000 reads per second does not bound
// the rate of postings; waiting repeats back off to one read per second.
//
// The limit applies to the commits of all nodes together: N nodes that all take
// postings need an interval of N/267 s. With 560 nodes each step would wait 2 s,
// so fewer nodes have to take postings. SetInterval adjusts the interval to the
// membership.
//
// # Retention
//
// Rows in done and not-run are deleted after the retention; a key that is repeated
// later runs again. Rows in claimed and sent are kept. The retention is hours and
// the hold seconds, so no write of an attempt is still in flight when its row is
// deleted and its version restarts at zero.
package claimer
