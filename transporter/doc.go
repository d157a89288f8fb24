// Package transporter sends HTTP requests and reports for each failed one
// whether any byte of it may have left the process.
package transporter
