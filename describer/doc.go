// Package describer describes the methods of a drpc service to its server.
package describer
