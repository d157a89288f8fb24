// Package classifier sorts the results of requests into outcomes and faults. It knows
// nothing of HTTP or drpc; front ends translate its types into their own.
package classifier
