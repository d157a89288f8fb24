// Package bundler reads, checks, signs and compares bundles.
package bundler
