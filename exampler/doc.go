// Package exampler generates the files of the examples: settings of the fakes
// and of six nodes as separate processes, operators' settings and keys, a
// bundle and a workload. The files of a deployment are always the same.
package exampler
