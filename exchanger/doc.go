// Package exchanger carries one call to one endpoint over a kept connection and
// returns the answer as it arrives. It never sends a call twice, tells whether a
// failed one may have run, and gives an answer only to the call that it names.
package exchanger
