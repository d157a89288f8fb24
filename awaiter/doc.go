// Package awaiter implements the first stage of the request pipeline. It delays
// calls that arrive before the host has loaded the data it needs to serve them.
package awaiter
