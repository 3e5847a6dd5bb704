// Package standin holds small stand-ins for what lies outside the product:
// the platform, model engines and plain services. They serve tests, the demo
// and the stand-in command, and count what the product's promises speak of.
package standin
