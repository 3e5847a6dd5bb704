/* An instance moves from one group to another, and its server ignores fencing:
 * it obeys whatever order arrives last.
 *
 * The owner orders the instance into group 1 while its lease covers the order's
 * deadline. Then the instance is moved out into quarantine: by the owner itself
 * while an order of its own may be under way, or by a successor after the
 * lease. Whoever frees it waits first, and orders it into group 2. An order
 * arrives before its deadline or never. Claim: once the new owner has
 * read back that the instance is in group 2 and grants permits, the instance
 * never goes back to group 1.
 *
 * BROKEN frees the instance without quarantine.
 */
#define TERM      3
#define DEADLINE  2
#define LATEST    9

byte lease = 0;            /* age of the old owner's lease */
bool moved = false;        /* the table shows the instance in quarantine */
bool freed = false;
byte waited = 0;           /* how long the quarantine has lasted */
byte role = 1;             /* the group that the server believes in */
bool granted = false;      /* the new owner grants permits for group 2 */

bool order1 = false;       /* an order of the old owner is on its way */
byte age1 = 0;
bool order2 = false;
byte age2 = 0;

inline older(x) { if :: x < LATEST -> x++ :: else fi }

active proctype Clock() {
	do
	:: atomic {
		older(lease); older(age1); older(age2);
		if :: moved -> older(waited) :: else fi;
		if :: order1 && age1 > DEADLINE -> order1 = false :: else fi;
		if :: order2 && age2 > DEADLINE -> order2 = false :: else fi }
	od
}

active proctype OldOwner() {
	do
	:: atomic { !order1 && !moved && lease + DEADLINE < TERM -> order1 = true; age1 = 0 }
	:: atomic { lease < TERM && !moved -> lease = 0 }  /* a renewal */
	od
}

active proctype NewOwner() {
	if
	:: atomic { lease >= TERM -> moved = true }  /* by a successor */
	:: atomic { lease < TERM -> moved = true }   /* by the owner itself */
	fi;
#ifdef BROKEN
	freed = true;
#else
	atomic { waited > DEADLINE -> freed = true };
#endif
	do
	:: atomic { !order2 && !granted -> order2 = true; age2 = 0 }
	:: atomic { role == 2 && !granted -> granted = true }  /* read back */
	od
}

active proctype Server() {
	do
	:: atomic { order1 -> order1 = false; role = 1 }
	:: atomic { order2 -> order2 = false; role = 2 }
	:: atomic { granted -> assert(role == 2) }
	od
}
