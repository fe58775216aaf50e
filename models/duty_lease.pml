/*
 * Models the lease of the duties with two routers, the duty record in the store and the platform's API. Names are those of
 * servers/duties/duty_lease.
 *
 * Durations are timers that count down, not points in time, so the length of a run is not limited; the number of revisions in
 * an era is. One router at a time may be suspended, between any two steps; its timers stand still meanwhile. The store executes
 * a write and answers it, or the answer is lost, or it executes the write up to LATE ticks later without an answer; one such
 * write waits at a time. The store may be restored once to its first state, which is empty or has a record of router 0; its
 * revisions then go back, and its era increases.
 *
 * Answers arrive at once. That a write may be sent up to FRESH ticks after an answer stands for slow ones. Announcements and
 * the names of earlier holders are left out: they only make a router wait longer or choose a higher token.
 *
 * Checked: no call is sent after the sender's lease has expired; a token is used by one router only; no call has a smaller
 * token than one before it.
 *
 * variants: FINE_TICKS
 * mutants: NO_CHECK_BEFORE_CALL CALL_AFTER_SUSPENSION CALL_AFTER_RELEASE VALID_FROM_ANSWER ACQUIRE_AT_ONCE TOKEN_FROM_REVISION NO_WAIT_FOR_LATE_WRITES WRITE_ON_OLD_ANSWER RENEW_AFTER_SUSPENSION
 */

#define ROUTERS 2
#define NONE 255
/* Larger than the number of tokens in an era. */
#define ERA_TOKENS 8

/*
 * Durations in ticks. LEASE: how long a record has to be unchanged before another router acquires the lease. VALID: how long a
 * lease is valid after its write was sent. FRESH: how long after an answer a write may be sent that relies on it. LATE: how
 * much later the store may execute a write. With FINE_TICKS they have the ratios of the product, in ticks of LeaseMs / 4.
 */
#ifdef FINE_TICKS
#define LAST_REVISION 2
#define LEASE 4
#define VALID 3
#define FRESH 2
#define LATE 8
#else
#define LAST_REVISION 4
#define LEASE 3
#define VALID 2
#define FRESH 2
#define LATE 4
#endif

/* The era of the store and the record; revision 0 is its absence. */
bit era;
byte revision;
byte token;
byte writer = NONE;
bit recordEra;
bool isReleased;
/* The writer does not know yet that its write took effect. */
bool isUnknownWrite;
/* The revision to which the store is restored. */
bit firstRevision;

/* A write that the store may execute later. */
byte lateWriter = NONE;
byte lateRevision;
byte lateToken;
bit lateEra;
bool isLateRelease;
byte lateTimer;
bool isLateUnknown;

/* What each router knows. */
bool suspended[ROUTERS];
/* The router has given up the lease, and its process ends. */
bool ended[ROUTERS];
bit knownEra[ROUTERS];
byte knownRevision[ROUTERS];
bool owned[ROUTERS];
bool observed[ROUTERS];
/* The token of the own record, or the one with which the router may acquire. */
byte ownToken[ROUTERS];
/* Until the lease expires, until no write may be sent, until the record has been observed, until late writes are over. */
byte validTimer[ROUTERS];
byte writeTimer[ROUTERS];
byte observeTimer[ROUTERS];
byte eraTimer[ROUTERS];
/* Until the lease expires if the write without an answer took effect. */
byte unknownTimer[ROUTERS];

/* The lease in true time, which passes also while the router is suspended. */
byte trueValidTimer[ROUTERS];
byte trueUnknownTimer[ROUTERS];
/* The highest token of all calls, and its sender. */
byte highestToken;
byte lastCaller = NONE;

#define IS_RUNNING(r) (!suspended[r] && !ended[r])

#ifdef NO_CHECK_BEFORE_CALL
#define MAY_CALL(r) (IS_RUNNING(r) && owned[r])
#else
#ifdef CALL_AFTER_RELEASE
#define MAY_CALL(r) (!suspended[r] && owned[r] && validTimer[r] > 0)
#else
#define MAY_CALL(r) (IS_RUNNING(r) && owned[r] && validTimer[r] > 0)
#endif
#endif

#define MAY_WRITE(r) (IS_RUNNING(r) && writeTimer[r] > 0 && knownRevision[r] < LAST_REVISION)

#ifdef ACQUIRE_AT_ONCE
#define IS_QUIET(r) true
#else
#define IS_QUIET(r) (observeTimer[r] == 0)
#endif

#ifdef NO_WAIT_FOR_LATE_WRITES
#define LATE_WRITES_OVER(r) true
#else
#define LATE_WRITES_OVER(r) (eraTimer[r] == 0 || (revision != 0 && recordEra == knownEra[r]))
#endif

#define FIRST_TOKEN(r) (knownEra[r] * ERA_TOKENS + 1)
#ifdef TOKEN_FROM_REVISION
#define NEXT_TOKEN(r) (revision + 1)
#else
#define NEXT_TOKEN(r) (token + 1 > FIRST_TOKEN(r) -> token + 1 : FIRST_TOKEN(r))
#endif

/* Whether the store may come back to a revision. */
#define MAY_RETURN(number) (number >= revision || (era == 0 && number >= firstRevision))

#define DECREMENT(timer) timer = (timer > 0 -> timer - 1 : 0)

inline loseLease(r)
{
    owned[r] = false;
    validTimer[r] = 0;
    trueValidTimer[r] = 0;
    observed[r] = false;
    observeTimer[r] = 0
}

/* The write without an answer has not taken effect, or it does not matter any more. */
inline endUnknown(r)
{
    unknownTimer[r] = 0;
    trueUnknownTimer[r] = 0
}

inline clearLateWrite()
{
    if
    :: isLateUnknown -> endUnknown(lateWriter)
    :: else
    fi;
    lateWriter = NONE;
    lateRevision = 0;
    lateToken = 0;
    lateEra = 0;
    isLateRelease = false;
    lateTimer = 0;
    isLateUnknown = false
}

/* The record has been replaced or restored: a late write whose condition can't hold any more is dropped. */
inline clearOldWrites()
{
    if
    :: lateWriter != NONE && !MAY_RETURN(lateRevision) -> clearLateWrite()
    :: else
    fi
}

inline replaceRecord(newWriter, newEra, isUnknown)
{
    if
    :: isUnknownWrite -> endUnknown(writer)
    :: else
    fi;
    revision++;
    writer = newWriter;
    recordEra = newEra;
    isReleased = false;
    isUnknownWrite = isUnknown
}

/* The write in progress gets no answer, so that the record is read before the next one. */
inline loseAnswer(r)
{
    unknownTimer[r] = VALID;
    trueUnknownTimer[r] = VALID;
    writeTimer[r] = 0;
    if
    :: !owned[r] -> ownToken[r] = 0
    :: else
    fi
}

inline becomeOwner(r)
{
    owned[r] = true;
    ownToken[r] = token;
    observed[r] = false;
    observeTimer[r] = 0;
    writeTimer[r] = FRESH
}

/* onRecord, or duty_record_absent. */
inline readRecord(r)
{
    if
    :: knownEra[r] < era ->
        loseLease(r);
        knownEra[r] = era;
        eraTimer[r] = LATE + FRESH
    :: else
    fi;
    if
    :: revision != 0 && writer == r && recordEra == knownEra[r] && !isReleased ->
        if
        :: isUnknownWrite && unknownTimer[r] > validTimer[r] ->
#ifdef VALID_FROM_ANSWER
            validTimer[r] = VALID;
#else
            validTimer[r] = unknownTimer[r];
#endif
            trueValidTimer[r] = trueUnknownTimer[r]
        :: else
        fi;
        becomeOwner(r)
    :: else ->
        if
        :: owned[r] -> loseLease(r)
        :: else
        fi;
        if
        /* There is no holder to wait for. */
        :: revision == 0 || isReleased -> observed[r] = false; observeTimer[r] = 0
        :: revision != 0 && !isReleased && !(observed[r] && knownRevision[r] == revision) ->
            observed[r] = true;
            observeTimer[r] = LEASE
        :: else
        fi;
        if
        :: IS_QUIET(r) && LATE_WRITES_OVER(r) -> writeTimer[r] = FRESH; ownToken[r] = NEXT_TOKEN(r)
        :: else -> writeTimer[r] = 0; ownToken[r] = 0
        fi
    fi;
    knownRevision[r] = revision;
    endUnknown(r);
    if
    :: writer == r -> isUnknownWrite = false
    :: else
    fi;
    if
    :: lateWriter == r -> isLateUnknown = false
    :: else
    fi
}

/* interrupt(): the process was suspended. What only a router without the lease would need is cleared, to have fewer states. */
inline interrupt(r)
{
    validTimer[r] = 0;
    trueValidTimer[r] = 0;
    endUnknown(r);
    observed[r] = false;
    observeTimer[r] = 0;
#ifdef RENEW_AFTER_SUSPENSION
    writeTimer[r] = (owned[r] -> writeTimer[r] : 0);
#else
    writeTimer[r] = 0;
#endif
    if
    :: !owned[r] -> ownToken[r] = 0; knownRevision[r] = 0
    :: else
    fi
}

/* The lease is given up: the router makes no more calls, and its process ends. */
inline endProcess(r)
{
    ended[r] = true;
#ifndef CALL_AFTER_RELEASE
    loseLease(r);
    ownToken[r] = 0;
#endif
    endUnknown(r);
    knownRevision[r] = 0;
    writeTimer[r] = 0;
    eraTimer[r] = 0;
    knownEra[r] = 0;
    if
    :: writer == r -> isUnknownWrite = false
    :: else
    fi
}

inline countDown(r)
{
    if
    :: !suspended[r] ->
        DECREMENT(validTimer[r]);
#ifndef WRITE_ON_OLD_ANSWER
        DECREMENT(writeTimer[r]);
#endif
        DECREMENT(observeTimer[r]);
        DECREMENT(eraTimer[r]);
        DECREMENT(unknownTimer[r]);
        if
        :: writeTimer[r] == 0 && !owned[r] -> ownToken[r] = 0
        :: else
        fi
    :: else
    fi;
    DECREMENT(trueValidTimer[r]);
    DECREMENT(trueUnknownTimer[r])
}

proctype duty_lease(byte r)
{
    do
    :: d_step { IS_RUNNING(r) -> readRecord(r) }
    /* A write is executed and answered. An answer of another era makes the router read the record. */
    :: d_step { MAY_WRITE(r) && revision == knownRevision[r] && era == knownEra[r] ->
        token = ownToken[r];
        replaceRecord(r, knownEra[r], false);
        clearOldWrites();
        knownRevision[r] = revision;
        validTimer[r] = VALID;
        trueValidTimer[r] = VALID;
        becomeOwner(r)
       }
    /* The answer is lost. */
    :: d_step { MAY_WRITE(r) && revision == knownRevision[r] ->
        token = ownToken[r];
        replaceRecord(r, knownEra[r], true);
        clearOldWrites();
        loseAnswer(r)
       }
    /* The write is executed later. */
    :: d_step { MAY_WRITE(r) && lateWriter == NONE && MAY_RETURN(knownRevision[r]) ->
        lateWriter = r;
        lateRevision = knownRevision[r];
        lateToken = ownToken[r];
        lateEra = knownEra[r];
        lateTimer = LATE;
        isLateUnknown = true;
        loseAnswer(r)
       }
    /* The lease is released. The answer does not matter, since the process ends. */
    :: d_step { MAY_WRITE(r) && owned[r] ->
        if
        :: revision == knownRevision[r] ->
            token = ownToken[r];
            replaceRecord(r, knownEra[r], false);
            isReleased = true;
            clearOldWrites()
        :: else
        fi;
        endProcess(r)
       }
    :: d_step { MAY_WRITE(r) && owned[r] && lateWriter == NONE && MAY_RETURN(knownRevision[r]) ->
        lateWriter = r;
        lateRevision = knownRevision[r];
        lateToken = ownToken[r];
        lateEra = knownEra[r];
        isLateRelease = true;
        lateTimer = LATE;
        endProcess(r)
       }
    /* A call to the platform's API is checked and sent in one step. */
    :: d_step { MAY_CALL(r) ->
        assert(trueValidTimer[r] > 0);
        assert(ownToken[r] > highestToken || (ownToken[r] == highestToken && lastCaller == r));
        highestToken = ownToken[r];
        lastCaller = r
       }
    :: d_step { !suspended[0] && !suspended[1] && !ended[r] -> suspended[r] = true }
    :: d_step { suspended[r] ->
        suspended[r] = false;
#ifndef CALL_AFTER_SUSPENSION
        interrupt(r)
#endif
       }
    od
}

proctype surroundings()
{
    do
    :: d_step { lateWriter == NONE || lateTimer > 0 ->
        countDown(0);
        countDown(1);
        DECREMENT(lateTimer)
       }
    :: d_step { lateWriter != NONE && revision == lateRevision ->
        token = lateToken;
        replaceRecord(lateWriter, lateEra, isLateUnknown);
        isReleased = isLateRelease;
        isLateUnknown = false;
        clearLateWrite()
       }
    /* The late write is never executed. */
    :: d_step { lateWriter != NONE -> clearLateWrite() }
    :: d_step { era == 0 ->
        if
        :: isUnknownWrite -> endUnknown(writer)
        :: else
        fi;
        era = 1;
        revision = firstRevision;
        token = firstRevision;
        writer = (firstRevision == 0 -> NONE : 0);
        recordEra = 0;
        isReleased = false;
        isUnknownWrite = false;
        firstRevision = 0;
        clearOldWrites()
       }
    od
}

init
{
    atomic {
        if
        :: skip
        :: firstRevision = 1;
           token = 1;
           replaceRecord(0, 0, false);
           knownRevision[0] = 1;
           validTimer[0] = VALID;
           trueValidTimer[0] = VALID;
           becomeOwner(0)
        fi;
        run duty_lease(0);
        run duty_lease(1);
        run surroundings()
    }
}
