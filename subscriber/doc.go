// Package subscriber follows a table at another host of the data centre that
// follows it at the store. Calls to the store then grow with the number of data
// centres and not with that of hosts. A host whose copy is old, or that does not
// answer, is passed over for a while, and the table is followed at the store.
package subscriber
