// Package supplier manages the engines that this host owns: it loads base models
// and adapters, evicts adapters to make room, replaces versions, and schedules
// calls. One goroutine per engine sends its orders sequentially. Each order carries
// the number of orders that the engine must have accepted before, so that an order
// whose answer was lost cannot take effect after a later one.
package supplier
