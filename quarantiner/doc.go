// Package quarantiner decides which parts of prompts crash the endpoints that begin
// to answer calls with them. It has no clock and no network of its own.
//
// A fatal part crashes every endpoint, so that no call with it ever produces output.
// A part becomes suspect when an endpoint process breaks off under a call before the
// call's output has begun, and it is cleared as soon as the output of any call with it
// begins. Several calls are usually lost in one crash, of which one is the cause: a
// crash under a part that is already known to be fatal says nothing of the others.
//
// Each host judges by the outputs that it saw, which other hosts may not have seen. So a
// part in quarantine is released where an output refutes the crashes under it, and as
// long as other parts explain these crashes as well, calls that can tell the parts apart
// are not refused for good (Signature).
package quarantiner
