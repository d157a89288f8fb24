// Package relayer implements the pipeline stage that forwards a call to an
// endpoint. It chooses the endpoint, has the call's model loaded there, sends the
// call, and retries or gives up if that fails. At-most-once work is sent again only
// if the call never left the host or the endpoint reported that it did not run.
package relayer
