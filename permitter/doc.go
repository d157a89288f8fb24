// Package permitter obtains turns at endpoints that accept a limited rate of requests
// from all hosts together. For each such endpoint, one host spaces the requests of all
// hosts. A host that cannot reach it uses a small share of the rate, so that no host
// depends on another one. Hosts tell each other which endpoints are limited.
package permitter
