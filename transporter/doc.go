// Package transporter sends HTTP requests and tells for each one that fails
// whether any byte of it may have left the process.
package transporter
