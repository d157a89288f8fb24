// Package emulator provides fakes of the platform and of the endpoints.
package emulator
