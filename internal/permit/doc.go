// Package permit decides who may send how much to a replica group. An entry
// sends only under a permit: a number of credits for a limited time. A Lender
// is the granting side of one group, a Holder the receiving side of all
// groups that an entry uses.
//
// No clocks are compared: the granting side says for how long its evidence
// still holds, and the receiving side counts that from before it asked.
package permit
