// Package exampler makes the files of the examples: settings of the fakes and of
// six nodes as separate processes, operators' settings and keys, a bundle and a
// workload. The same deployment always gives the same files.
package exampler
