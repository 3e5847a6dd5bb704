// Package standin provides fakes of the systems outside the product: the
// platform, model engines, backend servers, plain services and the network.
// Tests, the demo and the stand-in command use them. The fakes inject faults
// and count violations of the product's invariants.
package standin
