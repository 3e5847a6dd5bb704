/* The ledger of calls that are not idempotent: two entries receive calls with
 * the same key. An entry inserts a claim row if there is none, and only the
 * entry whose attempt the row holds sends the call. The answer to the insert
 * may be lost after it took effect, and an entry may die at any step. Claim:
 * the call runs at most once.
 *
 * BROKEN lets an entry run a call again whose claimer seems to be gone.
 */
#define ENTRIES 2

byte claim = 0;            /* the attempt in the row, 0 for none */
bool outcome = false;      /* the row holds the call's outcome */
byte runs = 0;             /* how often the call ran */

proctype Entry(byte me) {
	byte read;
	bool won = false;
insert:
	atomic {
		if
		:: claim == 0 -> claim = me; won = true
		:: else
		fi
	}
	if
	:: won -> goto send
	:: won -> goto readBack                /* the answer was lost */
	:: !won -> goto readBack
	:: goto dead
	fi;
readBack:
	read = claim;
	if
	:: read == me -> goto send
	:: read != me && outcome -> goto replay
#ifdef BROKEN
	:: read != me && !outcome -> claim = me; goto send
#else
	:: read != me && !outcome -> goto unknown  /* answers may-have-run */
#endif
	:: goto dead
	fi;
send:
	atomic { runs++; assert(runs <= 1) }
	if
	:: outcome = true
	:: goto dead                           /* before the outcome is stored */
	fi;
replay:
unknown:
dead:
	skip
}

init { atomic { run Entry(1); run Entry(2) } }
