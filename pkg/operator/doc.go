// Package operator defines the operators' API: the configuration that members
// of the consortium share, its changes, the fleet's status, and a client.
//
// The data types carry no encoding; the codec in this package maps them to
// JSON in kebab case, which is also how the platform's table keeps changes.
package operator
