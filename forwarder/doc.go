// Package forwarder carries requests and knowledge between nodes: a drpc server
// and client with CBOR messages, and a peer in the same process with the same
// behaviour for tests.
//
// Errors keep their kind and classifier faults their type, outcome, detail and
// retry delay. connector.ErrRefused says that a call was not sent or not
// started, connector.ErrBroken that its effect is not known. Deadlines cross as
// remaining times and views with their ages, because clocks of hosts are never
// compared. A connection carries one call at a time; closing it is how a caller
// cancels a job.
package forwarder
