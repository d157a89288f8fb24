// Package bundler parses, checks, signs and compares bundles. A bundle is the
// configuration of a deployment: its regions, base models, adapters, services,
// endpoints and limits.
package bundler
