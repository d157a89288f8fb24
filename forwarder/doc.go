// Package forwarder carries requests and control messages between nodes over
// drpc. It translates only; decisions are made behind Handler.
package forwarder
