// Package transporter sends HTTP requests and reports for each failed one
// whether any byte of it may have left the process. A response with a malformed
// head, or with an end that a reset of the connection may have caused, is a failure.
package transporter
