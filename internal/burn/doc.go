// Package burn counts how requests met their service-level objectives, and how
// fast the error budgets burn. Everything stays in memory.
package burn
