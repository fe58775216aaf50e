/*
 * The right to give orders to one upstream: two sidecars, one lease object, one engine. Names are those of
 * servers/lease/lease_keeper.
 *
 * Time is a counter that a process advances at will, so a holder may be paused between any two steps: also between the
 * check of its right and the order's arrival. An engine that checks fencing numbers (the default) is exposed to pauses of
 * any length; one that ignores them (ENGINE_IGNORES_NUMBER) is safe only if an order takes no longer than the allowance
 * from the check to the engine (ORDERS_IN_TIME).
 *
 * Checked: an order of a smaller number never follows one of a larger number in the engine; no two holders have the right
 * at the same time; no two holders have the same number.
 *
 * variants: ENGINE_IGNORES_NUMBER,ORDERS_IN_TIME
 * mutants: ENGINE_IGNORES_NUMBER REUSE_NUMBER UNCONDITIONAL_WRITE TAKE_OVER_AT_ONCE COUNT_FROM_ANSWER
 */

#define HOLDERS 2
#define LENGTH 3
#define ALLOWANCE 1
#define LAST_TICK 8
#define NONE 255

byte now;

/* The stored order_lease. */
byte version;
byte fencingNumber;
byte holder = NONE;

byte renewals;
byte heldUntil[HOLDERS];
byte heldNumber[HOLDERS];
byte seenVersion[HOLDERS] = NONE;
byte seenNumber[HOLDERS];
byte seenAt[HOLDERS];
byte writtenAt[HOLDERS];
byte writtenNumber[HOLDERS];
bool writing[HOLDERS];
/* The write took effect and its answer is under way or lost. */
bool tookEffect[HOLDERS];

/* An order on its way to the engine, and the time of the check that allowed it. */
byte orderNumber[HOLDERS];
byte orderCheckedAt[HOLDERS];
byte highestExecuted;

#define HAS_RIGHT(h) (heldUntil[h] > now)

#ifdef TAKE_OVER_AT_ONCE
#define IS_FREE(h) true
#else
#define IS_FREE(h) (version == 0 || now >= seenAt[h] + LENGTH + ALLOWANCE)
#endif

#ifdef REUSE_NUMBER
#define NEXT_NUMBER(h) (seenNumber[h] == 0 -> 1 : seenNumber[h])
#else
#define NEXT_NUMBER(h) (seenNumber[h] + 1)
#endif

#ifdef UNCONDITIONAL_WRITE
#define MAY_WRITE(h) true
#else
#define MAY_WRITE(h) (seenVersion[h] == version)
#endif

inline hold(h)
{
#ifdef COUNT_FROM_ANSWER
    heldUntil[h] = now + LENGTH - ALLOWANCE;
#else
    heldUntil[h] = writtenAt[h] + LENGTH - ALLOWANCE;
#endif
    heldNumber[h] = writtenNumber[h];
    seenNumber[h] = writtenNumber[h];
    assert(!HAS_RIGHT(h) || !HAS_RIGHT(1 - h));
    assert(heldNumber[h] != heldNumber[1 - h])
}

inline beginWrite(h, number)
{
    writing[h] = true;
    tookEffect[h] = false;
    writtenAt[h] = now;
    writtenNumber[h] = number
}

proctype lease_keeper(byte h)
{
    do
    /* read_lease */
    :: atomic { !writing[h] && holder != h && seenVersion[h] != version ->
        seenVersion[h] = version;
        seenNumber[h] = fencingNumber;
        seenAt[h] = now
       }
    /* write_lease, to acquire */
    :: atomic { !writing[h] && holder != h && seenVersion[h] != NONE && IS_FREE(h) && now < LAST_TICK ->
        beginWrite(h, NEXT_NUMBER(h))
       }
    /* write_lease, to renew */
    :: atomic { !writing[h] && HAS_RIGHT(h) && holder == h && writtenAt[h] < now && renewals < 1 ->
        renewals++;
        beginWrite(h, heldNumber[h])
       }
    /* The object API executes the write. */
    :: atomic { writing[h] && !tookEffect[h] ->
        if
        :: MAY_WRITE(h) ->
            version++;
            holder = h;
            fencingNumber = writtenNumber[h];
            seenVersion[h] = version;
            tookEffect[h] = true
        /* lease_written with conflict: the lease is read again. */
        :: !MAY_WRITE(h) -> writing[h] = false
        fi
       }
    /* lease_written with written, or lost and read back while the object is still the own one. */
    :: atomic { writing[h] && tookEffect[h] ->
        writing[h] = false;
        tookEffect[h] = false;
        if
        :: holder == h -> hold(h)
        :: else -> skip
        fi
       }
    /* An order is checked against the own clock; the process may be paused behind the check. */
    :: atomic { HAS_RIGHT(h) && orderNumber[h] == 0 ->
        orderNumber[h] = heldNumber[h];
        orderCheckedAt[h] = now
       }
    /* The order reaches the engine. */
    :: atomic { orderNumber[h] != 0 ->
#ifdef ORDERS_IN_TIME
        if
        :: now > orderCheckedAt[h] + ALLOWANCE -> skip
        :: else ->
#endif
#ifndef ENGINE_IGNORES_NUMBER
        if
        :: orderNumber[h] < highestExecuted -> skip
        :: else ->
#endif
            assert(orderNumber[h] >= highestExecuted);
            highestExecuted = orderNumber[h]
#ifndef ENGINE_IGNORES_NUMBER
        fi
#endif
#ifdef ORDERS_IN_TIME
        fi
#endif
        ;
        orderNumber[h] = 0;
        orderCheckedAt[h] = 0
       }
    od
}

proctype clock()
{
    do
    :: atomic { now < LAST_TICK -> now++ }
    od
}

init
{
    atomic {
        run lease_keeper(0);
        run lease_keeper(1);
        run clock()
    }
}
