// Package operator defines the operators' API: the configuration that the
// members of the consortium share, its changes, the status of the fleet, and a
// client.
//
// The data types have no JSON tags. The Encode and Decode functions convert them
// to and from JSON with kebab-case names. The platform's table stores changes in
// the same encoding.
package operator
