// Package logger writes JSON lines with a fixed set of keys: ts, level, node,
// component, event, request_id and err.
package logger
