// Package wire defines the JSON messages of the platform's protocol: those that controllers
// exchange with users, workers, the cloud and the key-value store.
//
// The Go names are the usual terms. The protocol's own names appear only in the struct tags and
// the values of the constants; docs/architecture.md lists both. The package has no state and
// imports no other package of the program. Every package that communicates with the platform uses
// it. It must not validate or interpret messages.
package wire
