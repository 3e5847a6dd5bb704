/* Shares of a cold server: each entry sends it 1/n of what it bears, where n is
 * the number of entries that it knows of. An entry writes its row and reads
 * all rows at its start and then every PERIOD. Entries start and die at any
 * time; the row of a dead one stays for three periods. Until an entry has read
 * the rows twice it assumes that there are ASSUMED entries.
 *
 * Claim: all entries together never send more than one and a half times what
 * the server bears. It is held between two ticks, since entries that are due in
 * one tick read in any order.
 *
 * BROKEN goes by the first read: entries that start together each find few
 * rows.
 */
#define ENTRIES 4
#define PERIOD  2
#define RATE    12   /* a multiple of every number of entries */
#define ASSUMED 12
#define STARTS  6

#ifdef BROKEN
#define SETTLED 1
#else
#define SETTLED 2
#endif

bool up[ENTRIES];
bool row[ENTRIES];
byte due[ENTRIES];         /* ticks until the next read */
byte reads[ENTRIES];
byte share[ENTRIES];
byte dead[ENTRIES];        /* ticks since the entry died */
byte starts = 0;

inline start(i) {
	up[i] = true; due[i] = 0; reads[i] = 0; share[i] = RATE / ASSUMED; starts++
}

inline read(i) {
	row[i] = true; due[i] = PERIOD;
	if :: reads[i] < SETTLED -> reads[i]++ :: else fi;
	if
	:: reads[i] >= SETTLED -> share[i] = RATE / (row[0] + row[1] + row[2] + row[3])
	:: else
	fi
}

inline tick(i) {
	if
	:: up[i] -> due[i]--; dead[i] = 0
	:: !up[i] && row[i] -> dead[i]++;
		if :: dead[i] >= 3 * PERIOD -> row[i] = false; dead[i] = 0 :: else fi
	:: else
	fi
}

active [ENTRIES] proctype Entry() {
end:	do
	:: atomic { !up[_pid] && starts < STARTS -> start(_pid) }
	:: atomic { up[_pid] && due[_pid] == 0 -> read(_pid) }
	:: atomic { up[_pid] -> up[_pid] = false; share[_pid] = 0; due[_pid] = 1 }
	od
}

active proctype Clock() {
end:	do
	:: atomic { (!up[0] || due[0] > 0) && (!up[1] || due[1] > 0) && (!up[2] || due[2] > 0) && (!up[3] || due[3] > 0) ->
		assert(2 * (share[0] + share[1] + share[2] + share[3]) <= 3 * RATE);
		tick(0); tick(1); tick(2); tick(3) }
	od
}
