/* A replica group on the hosting platform: its leader and one member take
 * orders that may be carried out late, and the steward may change.
 *
 * The steward tells the leader to join once, the member as often as it likes,
 * and orders an open when it has read that both are ready. When the group ends
 * it tells the leader to leave until it has read that the leader is out; only
 * if it never ordered an open it need not. Then it lets the member join group
 * 2, whose record replaces that of the first. A successor inherits the record:
 * of the first group it takes it that an open may have been ordered, and tells
 * the leader nothing but to open or to leave. What a steward reads is the store,
 * which never shows an older state again.
 *
 * The steward may close the group and, before it tells the leader to leave, open it
 * again, as it does when a member was without a record for some time.
 *
 * Claims: the leader opens only after the member was ready, and it never
 * serves while the member is in group 2.
 *
 * BROKEN tells the leader to join again while it is out.
 */
#define OUT   0
#define READY 1
#define OPEN  2
#define CLOSING 3  /* requests are still in progress */
#define MOST  2    /* copies of an order on their way */

byte leader = OUT;
byte member = 0;           /* the group that the member is in */
bool was_ready = false;    /* the member was ready in group 1 */
byte steward = 1;
bool second = false;       /* the record of group 2 has replaced the first */

byte join_leader = 0;      /* orders on their way */
byte join_member = 0;
byte join_second = 0;
byte open = 0;
byte close = 0;
byte leave = 0;

active proctype Leader() {
end:	do
	:: atomic { join_leader > 0 -> join_leader--;
		if :: leader == OUT -> leader = READY :: else fi }
	:: atomic { open > 0 -> open--;
		if
		:: leader == READY -> assert(was_ready); assert(member != 2); leader = OPEN
		:: else
		fi }
	:: atomic { close > 0 -> close--;
		if :: leader == OPEN -> leader = CLOSING :: else fi }
	:: leader == CLOSING -> leader = READY
	:: atomic { leave > 0 -> leave--; leader = OUT }
	od
}

active proctype Member() {
end:	do
	:: atomic { join_member > 0 -> join_member--;
		/* group 2 has the higher epoch */
		if :: member != 2 -> member = 1; was_ready = true :: else fi }
	:: atomic { join_second > 0 -> join_second--;
		assert(leader != OPEN && leader != CLOSING); member = 2 }
	od
}

proctype Steward(byte me) {
	bool inherited = (me == 2);
	bool may_open = inherited;
	bool told = inherited;
	if :: inherited && second -> goto over :: else fi;
end1:	do
	:: atomic { steward == me && !told -> told = true; join_leader++ }
#ifdef BROKEN
	:: atomic { steward == me && leader == OUT && join_leader < MOST -> join_leader++ }
#endif
	:: atomic { steward == me && member == 0 && join_member < MOST -> join_member++ }
	:: atomic { steward == me && leader == READY && member == 1 && open < MOST -> may_open = true; open++ }
	:: atomic { steward == me && leader == OPEN && close < MOST -> close++ }
	:: steward == me -> break  /* the group ends */
	od;
end2:	do
	:: atomic { steward == me && may_open && leader != OUT && leave < MOST -> leave++ }
	:: atomic { steward == me && (!may_open || leader == OUT) -> second = true; break }
	od;
over:
end3:	do
	:: atomic { steward == me && member != 2 && join_second < MOST -> join_second++ }
	od
}

active proctype Lease() {
	run Steward(1);
	if
	:: atomic { steward = 2; run Steward(2) }
	:: skip
	fi
}
