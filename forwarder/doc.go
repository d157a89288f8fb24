// Package forwarder is the RPC layer between nodes. It consists of a drpc server
// and client that exchange CBOR messages, and of an in-process peer with the same
// behaviour for tests.
//
// Sentinel errors keep their identity across a call, and classifier faults keep
// their type, outcome, detail and retry delay. connector.ErrRefused means that a
// call was not sent or not started, connector.ErrBroken that its effect is
// unknown. Deadlines are sent as remaining durations and views with their ages,
// because clocks of different hosts are never compared. A connection carries one
// call at a time; a caller cancels a job by closing its connection.
package forwarder
