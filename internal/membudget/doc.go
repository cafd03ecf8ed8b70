// Package membudget limits the memory that messages of other processes hold together, from the first byte until
// they are no longer used. Limits of single messages don't bound it: dozens of faulty servers may each send a
// message up to its limit at once. Each source of messages has a Budget of its own, so that faulty targets can't
// use up what the store's responses need.
//
// When a budget is used up, the largest message that is still being received is given up, as those of faulty
// senders grow without end, and others go on. The package does not read messages, and does not limit their number.
//
// Begin with Budgets and Message.
package membudget
