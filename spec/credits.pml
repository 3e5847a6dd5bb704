/* Cold credits: an owner lends a cold group's credits to two entries. Each
 * request at the engine holds one credit to its end. The owner may be replaced
 * at any time; a new one knows nothing of the loans and waits before it lends.
 *
 * An entry counts its grant from before it asked; the owner counts the loan
 * from when it answered, and for a while longer, in which cancelled requests
 * leave the engine. Answers may be late or lost. Claim: the engine never has
 * more requests than the limit.
 *
 * BROKEN lets a new owner lend at once.
 */
#define ENTRIES 2
#define LIMIT   1
#define TERM    2
#define SETTLE  1
#define LATEST  6

byte running[ENTRIES];     /* requests at the engine */
byte credits[ENTRIES];     /* the entry's grant */
byte asked[ENTRIES];       /* age of the entry's last ask */
byte valid[ENTRIES];       /* age of the grant in force */
bool asking[ENTRIES];
byte answer[ENTRIES];      /* credits in the answer under way */
bool answered[ENTRIES];
byte lent[ENTRIES];        /* the owner's record */
byte lentAge[ENTRIES];
byte ownerAge = LATEST;    /* time since the owner took over */
byte owners = 0;

inline older(x) { if :: x < LATEST -> x++ :: else fi }

active proctype Clock() {
	byte i;
	do
	:: atomic {
		i = 0;
		do
		:: i < ENTRIES ->
			older(asked[i]); older(valid[i]); older(lentAge[i]);
			/* an entry cancels what its ended grant no longer covers, and
			 * the engine has let go within the settling time */
			if :: valid[i] >= TERM -> credits[i] = 0 :: else fi;
			if :: valid[i] >= TERM + SETTLE -> running[i] = 0 :: else fi;
			if :: lentAge[i] >= TERM + SETTLE -> lent[i] = 0 :: else fi;
			i++
		:: else -> break
		od;
		older(ownerAge) }
	od
}

proctype Entry(byte me) {
	do
	:: atomic { !asking[me] && !answered[me] -> asking[me] = true; asked[me] = 0 }
	:: atomic { answered[me] -> answered[me] = false;
		if
		:: asked[me] < TERM && running[me] <= answer[me] ->
			credits[me] = answer[me]; valid[me] = asked[me]
		:: true /* the answer is lost or too late */
		fi }
	:: atomic { running[me] < credits[me] -> running[me]++ }
	:: atomic { running[me] > 0 -> running[me]-- }
	od
}

active proctype Owner() {
	byte i;
	do
	:: atomic { i = 0;
		do
		:: i < ENTRIES && asking[i] -> break
		:: i < ENTRIES && !asking[i] -> i++
		:: i >= ENTRIES -> break
		od;
		if
		:: i < ENTRIES ->
			asking[i] = false;
			answered[i] = true;
			answer[i] = 0;
			if
#ifndef BROKEN
			:: ownerAge < TERM + SETTLE -> skip
#endif
			:: else ->
				if
				:: LIMIT > lent[1 - i] ->
					answer[i] = LIMIT - lent[1 - i];
					lent[i] = answer[i];
					lentAge[i] = 0
				:: else
				fi
			fi;
			i = 0
		:: else -> i = 0
		fi }
	:: atomic { owners < 1 -> owners++; ownerAge = 0;  /* another owner */
		lent[0] = 0; lent[1] = 0 }
	od
}

active proctype Engine() {
	do
	:: atomic { running[0] + running[1] > 0 -> assert(running[0] + running[1] <= LIMIT) }
	od
}

init { atomic { run Entry(0); run Entry(1) } }
