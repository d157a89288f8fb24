// Package supplier gives the engines that this host owns their orders: it loads
// base models and adapters, makes room for them, and replaces versions. One
// goroutine per engine sends the orders one after the other, each with the number
// of orders that the engine must have accepted before, so that an order whose
// answer was lost cannot take effect after a later one.
package supplier
