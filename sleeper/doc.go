// Package sleeper waits without outliving the context of whoever waits.
package sleeper
