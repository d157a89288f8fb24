// Package estimator learns how fast engines are from the calls that they served: the
// time to process a prompt token, the time to generate an output token, the time that
// must be left for generation between prompts, and the time of an adapter load. An
// engine without enough recent calls is estimated like the other engines of its
// service, and a service without calls by the defaults. The package has no clock and
// no network of its own.
package estimator
