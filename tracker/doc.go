// Package tracker knows the endpoints of all services: where they are, what they
// hold and how they do. What the store says of them and what calls see of them
// meet here. A call reads one immutable snapshot and atomic counters.
package tracker
