/* Freshness of keys: operators take a key away, and the store confirms that.
 * An entry asks the store for changes again and again; questions and answers
 * may take any time, or get lost. It lets requests with the key pass while it
 * knows nothing else and its evidence is younger than BOUND. Evidence dates
 * from when the question was sent that the last answer belongs to.
 *
 * Claim: no request passes later than BOUND after the confirmation, also at an
 * entry that can't reach the store any more.
 *
 * BROKEN dates evidence from when the answer came.
 */
#define BOUND  3
#define LATEST 8

#define IDLE     0
#define ASKED    1    /* the question is on its way */
#define ANSWERED 2    /* the answer is on its way */

byte call = IDLE;
byte asked = 0;            /* time since the question was sent */
byte evidence = LATEST;    /* age of the entry's evidence */
bool revoked = false;      /* confirmed by the store */
byte since = 0;            /* time since then */
bool content;              /* what the answer says */
bool knows = false;        /* what the entry knows */

inline older(x) { if :: x < LATEST -> x++ :: else fi }

active proctype Clock() {
	do
	:: atomic { older(asked); older(evidence);
		if :: revoked -> older(since) :: else fi }
	od
}

active proctype Operator() {
	atomic { revoked = true; since = 0 }
}

active proctype Store() {
end:	do
	:: atomic { call == ASKED -> content = revoked; call = ANSWERED }
	:: atomic { call == ASKED -> call = IDLE }
	od
}

active proctype Entry() {
	do
	:: atomic { call == IDLE -> call = ASKED; asked = 0 }
	:: atomic { call == ANSWERED -> call = IDLE;
		if
		:: knows = content;
#ifdef BROKEN
			evidence = 0
#else
			evidence = asked
#endif
		:: true /* the answer is lost */
		fi }
	:: atomic { !knows && evidence < BOUND -> assert(!revoked || since <= BOUND) }
	od
}
