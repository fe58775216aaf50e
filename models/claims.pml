/*
 * Claims of one idempotency key: two entries, one sidecar, the object API.
 *
 * States and messages are named as in servers/claims, servers/entry and servers/sidecar. All requests carry the same key. The journal is an array of segments of one record each; its creation is
 * conditional. A write is answered, its answer is lost, or it lands late. An entry may be restarted at any time and then
 * has another incarnation; so may the sidecar, which forgets its attempts.
 *
 * Checked: at most one request of the key runs, and it runs once; a caller that is told "ran: no" is told the truth, then and
 * ever after.
 *
 * mutants: NO_INCARNATION_CHECK SKIP_READ_BACK RETRY_AFTER_UNKNOWN RELEASE_WITHOUT_ASKING GRANT_AFTER_GIVING_UP BLIND_OVERWRITE ANY_INCARNATION_ABANDONS NO_TOMBSTONE
 */

#define ENTRIES 2
#define REQUESTS 3
#define SEGMENTS 3
#define NONE 255

/* Requests 0 and 2 arrive at entry 0, request 1 at entry 1. */
#define ENTRY_OF(r) ((r) % 2)

mtype = { claim_made, claim_released };
mtype = { idle, claiming, dispatched, abandoned };
mtype = { unknown_attempt, running, withdrawn };

/* One record for each segment of the journal. */
mtype segmentKind[SEGMENTS];
byte segmentRequest[SEGMENTS] = NONE;
byte segmentReplaces[SEGMENTS] = NONE;

/* A write whose answer is lost and that may still take effect. */
byte lateRequest = NONE;
byte lateNumber = NONE;
byte lateReplaces = NONE;

mtype requestState[REQUESTS] = idle;
/* Incarnation of the entry that accepted the request, and of the sidecar that the offer names. */
byte requestIncarnation[REQUESTS];
byte offerIncarnation[REQUESTS];
/* Abandoned holder that the claim replaces. */
byte replaces[REQUESTS] = NONE;
bool toldNo[REQUESTS];

/* Position of an entry in the journal, and the holder after the segments before it. */
byte next[ENTRIES];
byte holder[ENTRIES] = NONE;
byte entryIncarnation[ENTRIES] = 1;
byte entryRestarts;

mtype attemptState[REQUESTS] = unknown_attempt;
byte sidecarIncarnation = 1;

/* Offers under way; a copy may arrive at any later time. */
bool offerUnderWay[REQUESTS];
/* The request that has run. */
byte executed = NONE;

inline applySegment(e)
{
    if
    :: segmentKind[next[e]] == claim_made && (holder[e] == NONE || (segmentReplaces[next[e]] != NONE && holder[e] == segmentReplaces[next[e]])) ->
        holder[e] = segmentRequest[next[e]]
    :: segmentKind[next[e]] == claim_released && holder[e] == segmentRequest[next[e]] ->
        holder[e] = NONE
    :: else -> skip
    fi;
    next[e]++
}

#ifdef BLIND_OVERWRITE
#define CAN_CREATE(number) true
#else
#define CAN_CREATE(number) (segmentRequest[number] == NONE)
#endif

/* claim_granted, and the offer, which names the incarnation that the sidecar last reported. */
inline grant(r)
{
    requestState[r] = dispatched;
    offerIncarnation[r] = sidecarIncarnation;
    offerUnderWay[r] = true
}

#ifdef SKIP_READ_BACK
#define LOST_ANSWER(r) grant(r)
#else
#define LOST_ANSWER(r) skip
#endif

inline create(number, kind, r, replaced)
{
    segmentKind[number] = kind;
    segmentRequest[number] = r;
    segmentReplaces[number] = replaced
}

inline accept(r, replaced)
{
    requestState[r] = claiming;
    requestIncarnation[r] = entryIncarnation[ENTRY_OF(r)];
    replaces[r] = replaced
}

inline startRun(r)
{
    attemptState[r] = running;
    assert(executed == NONE);
    executed = r;
    assert(!toldNo[r])
}

inline tellNo(r)
{
    toldNo[r] = true;
    assert(executed != r)
}

/* The claimant's answer to claim_query: it names no incarnation but its own. */
#ifdef RELEASE_WITHOUT_ASKING
#define SAYS_ABANDONED(r) true
#else
#ifdef ANY_INCARNATION_ABANDONS
#define SAYS_ABANDONED(r) (requestState[r] == abandoned || requestIncarnation[r] != entryIncarnation[ENTRY_OF(r)])
#else
#define SAYS_ABANDONED(r) (requestState[r] == abandoned && requestIncarnation[r] == entryIncarnation[ENTRY_OF(r)])
#endif
#endif

#define IS_CURRENT(r) (requestIncarnation[r] == entryIncarnation[ENTRY_OF(r)])

/* Requests 0 and 2 are alike, so their order of arrival is fixed. */
#define IS_NEXT(r) (requestState[r] == idle && (r != 2 || requestState[0] != idle))

/* What an entry does for one request that it has accepted. */
proctype request(byte r)
{
    byte e = ENTRY_OF(r);
    do
    /* claim_wanted: the key is free, or its holder is abandoned by its own claimant. */
    :: atomic { IS_NEXT(r) && holder[e] == NONE ->
        accept(r, NONE)
       }
    :: atomic { IS_NEXT(r) && holder[e] != NONE && SAYS_ABANDONED(holder[e]) ->
        accept(r, holder[e])
       }
    /* write_claim_segment, answered. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && next[e] < SEGMENTS && CAN_CREATE(next[e]) ->
        create(next[e], claim_made, r, replaces[r]);
        if
        :: applySegment(e);
           if
           :: holder[e] == r -> grant(r)
           :: else -> skip
           fi
        /* The answer is lost after the write took effect; the entry reads the segment back. */
        :: LOST_ANSWER(r)
        fi
       }
    /* The write lands late; it is answered by nothing, or by another segment that takes its number. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && next[e] < SEGMENTS && CAN_CREATE(next[e]) && lateRequest == NONE ->
        lateRequest = r;
        lateNumber = next[e];
        lateReplaces = replaces[r];
        LOST_ANSWER(r)
       }
    /* Read back: this claim holds the key. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && holder[e] == r -> grant(r) }
#ifdef GRANT_AFTER_GIVING_UP
    :: atomic { requestState[r] == abandoned && IS_CURRENT(r) && holder[e] == r -> grant(r) }
#endif
    /* claim_denied with claim_unavailable: given up at any time before it is granted. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) ->
        requestState[r] = abandoned;
        tellNo(r)
       }
    /* claim_released: a claim that landed with nobody to run it. */
    :: atomic { requestState[r] == abandoned && IS_CURRENT(r) && holder[e] == r && next[e] < SEGMENTS && segmentRequest[next[e]] == NONE ->
        create(next[e], claim_released, r, NONE);
        applySegment(e)
       }
    /* The offer is resent until answered; a copy that meets a running attempt changes nothing. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && !offerUnderWay[r] && attemptState[r] != running ->
        offerUnderWay[r] = true
       }
    /* Anything else, wrong_incarnation or silence, is told as outcome_unknown; copies may still be under way. */
    /* offer_refused or offer_withdrawn with started = false: certainly not run, and the key is released. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && offerIncarnation[r] == sidecarIncarnation && attemptState[r] == withdrawn ->
        requestState[r] = abandoned;
        tellNo(r)
       }
#ifdef RETRY_AFTER_UNKNOWN
    /* wrong_incarnation: a new attempt names the present incarnation. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && offerIncarnation[r] != sidecarIncarnation ->
        offerIncarnation[r] = sidecarIncarnation;
        offerUnderWay[r] = true
       }
#endif
    od
}

/* Reads the journal; may be replaced, and then reads it from the start. */
proctype entry(byte e)
{
    do
    :: atomic { next[e] < SEGMENTS && segmentRequest[next[e]] != NONE -> applySegment(e) }
    :: atomic { entryRestarts < 1 ->
        entryRestarts++;
        entryIncarnation[e]++;
        next[e] = 0;
        holder[e] = NONE
       }
    od
}

/* The sidecar's treatment of one attempt. */
proctype attempt(byte r)
{
    do
    :: atomic { offerUnderWay[r] ->
        offerUnderWay[r] = false;
        if
#ifdef NO_TOMBSTONE
        :: attemptState[r] == withdrawn || attemptState[r] == running -> startRun(r)
#endif
        /* Known attempts are answered with their state. */
        :: attemptState[r] != unknown_attempt -> skip
#ifdef NO_INCARNATION_CHECK
        :: attemptState[r] == unknown_attempt -> startRun(r)
#else
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] == sidecarIncarnation -> startRun(r)
        /* offer_refused leaves a tombstone. */
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] == sidecarIncarnation -> attemptState[r] = withdrawn
        /* wrong_incarnation */
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] != sidecarIncarnation -> skip
#endif
        fi
       }
    od
}

/* The sidecar is replaced and forgets its attempts. */
proctype sidecar()
{
    atomic {
        sidecarIncarnation++;
        attemptState[0] = unknown_attempt;
        attemptState[1] = unknown_attempt;
        attemptState[2] = unknown_attempt
    }
}

/* The object API lets a lost write take effect, if its number is still free. */
proctype object_api()
{
    do
    :: atomic { lateRequest != NONE ->
        if
        :: segmentRequest[lateNumber] == NONE -> create(lateNumber, claim_made, lateRequest, lateReplaces)
        :: else -> skip
        fi;
        lateRequest = NONE;
        lateNumber = NONE;
        lateReplaces = NONE
       }
    od
}

init
{
    atomic {
        run request(0);
        run request(1);
        run request(2);
        run entry(0);
        run entry(1);
        run attempt(0);
        run attempt(1);
        run attempt(2);
        run sidecar();
        run object_api()
    }
}
