/* Session takeover: a holder renews its row, a contender lapses a silent one.
 *
 * Time passes in ticks that both sides count by themselves; nobody compares
 * clocks. The holder may be paused between any two steps. A renewal may be
 * delayed, and its answer may be delayed or lost. Claim: whenever the holder's
 * own check passes, its session has not been lapsed.
 *
 * BROKEN counts the holder's term from the confirmation instead of from before
 * the write was sent.
 */
#define TERM    3
#define GRACE   1
#define LATEST  9          /* ages stop counting here */
#define WRITES  4          /* renewals in one run */

byte counter = 0;          /* the row: renewals that took effect */
bool lapsed = false;

byte sinceSent = 0;        /* holder: age of the renewal under way */
byte sinceValid = 0;       /* holder: age of the confirmed renewal */
bool pending = false;      /* a write is on its way to the table */
bool written = false;      /* it took effect, the answer is on its way */
byte expected = 0;         /* the version that the write compares with */
byte sent = 0;

byte seen = 0;             /* contender: counter at its last read */
byte silent = 0;           /* contender: ticks without a change */

inline older(x) { if :: x < LATEST -> x++ :: else fi }

active proctype Clock() {
	do
	:: atomic { older(sinceSent); older(sinceValid); older(silent) }
	od
}

active proctype Holder() {
	do
	:: atomic { !pending && !written && sent < WRITES ->
		sent++; sinceSent = 0; pending = true; expected = counter }
	:: atomic { written -> written = false;       /* the answer arrives */
#ifdef BROKEN
		sinceValid = 0
#else
		sinceValid = sinceSent
#endif
		}
	:: atomic { written -> written = false }      /* the answer is lost */
	:: atomic { pending -> pending = false }      /* the write is lost */
	:: atomic { sinceValid < TERM -> assert(!lapsed) }  /* an act */
	od
}

active proctype Table() {
	do
	:: atomic { pending ->
		pending = false;
		if
		:: !lapsed && expected == counter -> counter++; written = true
		:: else
		fi }
	od
}

active proctype Contender() {
	do
	:: atomic { seen != counter -> seen = counter; silent = 0 }  /* a read */
	:: atomic { !lapsed && seen == counter && silent >= TERM + GRACE -> lapsed = true }
	:: atomic { silent > 0 -> silent = 0 }        /* a gap in its reads */
	od
}
