// Package referrer selects the hosts that callers connect to.
package referrer
