// Package elector decides which host of a data centre checks a table of the store often, and
// how long the other hosts may rely on its announcements. An answer to a long poll that is
// lost shows nowhere else, so that a host which only waits for changes would miss them until
// its poll ends. The package has no clock and no network of its own.
package elector
