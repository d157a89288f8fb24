// Package broadcaster keeps the items that a host has to tell each of the other hosts,
// until each has acknowledged them or they have expired. A host that was cut off gets
// what it missed, and one that joins or starts again gets all items that still count.
// It has no clock and no network of its own.
package broadcaster
