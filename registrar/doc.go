// Package registrar keeps the prompt parts in quarantine in a table of the store, one
// row each, so that hosts which join, or which all start again, know them. A row that
// is not renewed is deleted after some minutes, which ends the quarantine; a host
// renews it while it refuses calls with the part.
package registrar
