// Package screener refuses calls that crash endpoints. An endpoint process
// whose connection breaks while it runs a call counts as a crash and adds a
// mark to the call. Hosts exchange their marks, and a call with marks of
// several processes is refused.
package screener
