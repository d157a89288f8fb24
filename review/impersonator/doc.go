// Package impersonator holds the stand-ins of the cases of the third review: a store, workers
// and requesters that behave as the users' pages say, and a runner of the project's hosts. It
// is used by the programs under review only.
package impersonator
