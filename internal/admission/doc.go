// Package admission decides which waiting request goes next: weighted fair
// queueing between organisations by the tokens that they were served, with
// bounded queues and deadlines.
package admission
