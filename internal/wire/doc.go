// Package wire holds the JSON messages of the platform's protocol, field for
// field: what users, workers, the cloud and the key-value store send to a
// controller and get from it.
//
// The Go names are the usual ones of the field. The protocol's own names stand in
// the struct tags and in the values of the constants, and nowhere else in the
// program; docs/architecture.md has them side by side. The package owns no state,
// imports nothing of the program, and every package that speaks to the platform
// uses it. It must not check or interpret what it carries.
package wire
