// Package routes holds the operators' configuration of a gateway and decides
// which route and organisation a request belongs to.
package routes
