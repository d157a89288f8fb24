// Package receiver turns the calls of all front ends into validated requests.
package receiver
