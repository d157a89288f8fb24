// Package chainer composes the stages of a pipeline. A stage is a filter from one
// message type to the next; Join connects two of them.
package chainer
