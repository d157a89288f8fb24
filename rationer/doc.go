// Package rationer limits how often calls are sent again. The limit holds for all
// hosts together: each uses the share that its own callers' requests earn and an
// equal part of the fixed slack, so that nobody has to be asked.
package rationer
