// Package screener refuses calls that crash endpoints. An endpoint process whose
// connection breaks before the output of a call has begun counts as a crash and adds
// a mark to the call. Hosts exchange their marks. A call with marks of several
// processes is refused, and so is a call with a part in its prompt that is found to
// crash the endpoints, whatever else it holds.
package screener
