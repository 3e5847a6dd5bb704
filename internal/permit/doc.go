// Package permit limits how many requests each entry sends to a replica group.
// An entry sends only under a permit: a number of credits that is valid for a
// limited time. A Lender grants the credits of one group. A Holder keeps the
// permits of one entry for all groups that it uses.
//
// Clocks of different machines are never compared. The Lender states for how
// long a grant is valid, and the Holder counts that time from before it sent
// the request.
package permit
