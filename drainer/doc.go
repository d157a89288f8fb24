// Package drainer follows planned stops: the drain rows that operators write and
// the platform's host list.
package drainer
