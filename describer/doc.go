// Package describer builds service descriptions for drpc servers without
// generated code.
package describer
