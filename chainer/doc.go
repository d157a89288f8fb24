// Package chainer composes the stages of a request pipeline. Each stage is a
// Filter from one message type to the next; Join connects two of them.
package chainer
