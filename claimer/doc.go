// Package claimer keeps the at-most-once promise for non-idempotent calls. It
// writes one table row per caller, service and idempotency key:
//
//	claimed → sent → done
//	claimed → not-run, sent → not-run (the endpoint refused the call)
//
// Each step is a conditional write on the row's version. Only the attempt named
// in the row proceeds, and it sends nothing before it knows that the row says
// sent. A lost answer to a write is resolved by reading the row back.
//
// # Truth of not-run
//
// A row stores how long its attempt may stay in claimed, its hold. The attempt
// counts the hold from before it wrote the row; others take the row over only
// after they saw it unchanged for the hold and a guard, each on its own clock,
// or after the lease of the attempt's node expired. While the hold lasts, and
// the lease that the node had when it wrote the row, an attempt that has not sent answers not-run without
// the table. Later it first writes not-run to the row, and answers unknown if it
// cannot.
//
// # Writes
//
// A posting needs three row writes: claimed, sent and done. A node groups them:
// one commit is in flight at a time, on average one starts per Interval, and it
// carries up to MaxGroup rows. With the default interval of 30 ms a node makes at
// most 33 commits per second, and 8 entry hosts make 267, below the 300 per
// second that the table takes. A commit of 64 rows carries 64/3 postings: 8 hosts
// × 33 commits/s × 64 rows / 3 = 5,600 postings/s at most. A posting then waits
// for 3 intervals, 90 ms. On an idle node the Burst is unspent, and each step
// waits only for the Window, 15 ms in all.
//
// A conflict on one row costs its group one more commit. The first attempt of a
// key reads nothing, so the table's 2,000 reads per second do not bound the
// postings; repeats read once per second at most while they wait.
//
// The commits of all nodes count: N nodes that all take postings need an interval
// of N/267 s. With 560 of them a posting would wait 2 s per step, and postings
// have to go to fewer nodes. SetInterval follows the membership.
//
// # Retention
//
// Rows in done and not-run are deleted after Retention; a key that is repeated
// later runs again. Rows in claimed and sent stay. The retention is hours, the
// hold seconds, so no write of an attempt is still under way when its row is
// deleted and its version counts from zero again.
package claimer
