// Package referrer tells callers which hosts to connect to.
package referrer
