/*
 * Models the claims of one idempotency key by two entries, with one sidecar and the object API.
 *
 * States and messages are named as in servers/claims, servers/entry and servers/sidecar. All requests have the same key. The
 * journal is an array of segments with one record each; a segment is created only if its number is free. The object API
 * responds to a write, or the response is lost, or the write takes effect after a delay. One of the entries may be restarted
 * at any time and then has another incarnation; so may the sidecar, which loses its attempts.
 *
 * Checked: at most one request with the key is executed, and only once; a request that was answered with "ran: no" has not
 * been executed and is not executed later.
 *
 * mutants: NO_INCARNATION_CHECK SKIP_READ_BACK RETRY_AFTER_UNKNOWN RELEASE_WITHOUT_ASKING GRANT_AFTER_GIVING_UP BLIND_OVERWRITE ANY_INCARNATION_ABANDONS NO_TOMBSTONE
 */

#define ENTRIES 2
#define REQUESTS 3
#define SEGMENTS 3
#define NONE 255

/* Requests 0 and 2 arrive at entry 0, request 1 at entry 1. */
#define ENTRY_OF(r) ((r) % 2)

mtype = { claim_acquired, claim_released };
mtype = { idle, claiming, dispatched, abandoned };
mtype = { unknown_attempt, running, withdrawn };

/* The journal: kind, request and replacedHolder holder of the record in each segment. */
mtype segmentKind[SEGMENTS];
byte segmentRequest[SEGMENTS] = NONE;
byte segmentReplaces[SEGMENTS] = NONE;

/* A write without a response that may still take effect: its request, segment number and replacedHolder holder. */
byte delayedRequest = NONE;
byte delayedNumber = NONE;
byte delayedReplaces = NONE;

mtype requestState[REQUESTS] = idle;
/* Incarnation of the entry that accepted the request, and incarnation of the sidecar that is named in the offer. */
byte requestIncarnation[REQUESTS];
byte offerIncarnation[REQUESTS];
/* Abandoned holder of the key that the request's claim replaces. */
byte replaces[REQUESTS] = NONE;
/* Whether the caller was answered with "ran: no". */
bool answeredNotRun[REQUESTS];

/* Number of the segment that each entry applies nextSegment, and the holder of the key after the segments before it. */
byte nextSegment[ENTRIES];
byte holder[ENTRIES] = NONE;
byte entryIncarnation[ENTRIES] = 1;
byte entryRestarts;

mtype attemptState[REQUESTS] = unknown_attempt;
byte sidecarIncarnation = 1;

/* Offers in transit. A copy may arrive at any later time. */
bool offerInTransit[REQUESTS];
/* The request that has been executed. */
byte executed = NONE;

inline applySegment(e)
{
    if
    :: segmentKind[nextSegment[e]] == claim_acquired && (holder[e] == NONE || (segmentReplaces[nextSegment[e]] != NONE && holder[e] == segmentReplaces[nextSegment[e]])) ->
        holder[e] = segmentRequest[nextSegment[e]]
    :: segmentKind[nextSegment[e]] == claim_released && holder[e] == segmentRequest[nextSegment[e]] ->
        holder[e] = NONE
    :: else -> skip
    fi;
    nextSegment[e]++
}

#ifdef BLIND_OVERWRITE
#define CAN_CREATE(number) true
#else
#define CAN_CREATE(number) (segmentRequest[number] == NONE)
#endif

/* claim_granted: the entry sends the offer, with the incarnation that the sidecar reported last. */
inline grant(r)
{
    requestState[r] = dispatched;
    offerIncarnation[r] = sidecarIncarnation;
    offerInTransit[r] = true
}

#ifdef SKIP_READ_BACK
#define ON_LOST_RESPONSE(r) grant(r)
#else
#define ON_LOST_RESPONSE(r) skip
#endif

inline createSegment(number, kind, r, replacedHolder)
{
    segmentKind[number] = kind;
    segmentRequest[number] = r;
    segmentReplaces[number] = replacedHolder
}

inline accept(r, replacedHolder)
{
    requestState[r] = claiming;
    requestIncarnation[r] = entryIncarnation[ENTRY_OF(r)];
    replaces[r] = replacedHolder
}

inline startRun(r)
{
    attemptState[r] = running;
    assert(executed == NONE);
    executed = r;
    assert(!answeredNotRun[r])
}

inline answerNotRun(r)
{
    answeredNotRun[r] = true;
    assert(executed != r)
}

/* The claimant's response to claim_query: it reports a request as abandoned only if its own incarnation accepted it. */
#ifdef RELEASE_WITHOUT_ASKING
#define REPORTS_ABANDONED(r) true
#else
#ifdef ANY_INCARNATION_ABANDONS
#define REPORTS_ABANDONED(r) (requestState[r] == abandoned || requestIncarnation[r] != entryIncarnation[ENTRY_OF(r)])
#else
#define REPORTS_ABANDONED(r) (requestState[r] == abandoned && requestIncarnation[r] == entryIncarnation[ENTRY_OF(r)])
#endif
#endif

#define IS_CURRENT(r) (requestIncarnation[r] == entryIncarnation[ENTRY_OF(r)])

/* Requests 0 and 2 arrive at the same entry and are interchangeable, so request 2 arrives after request 0. */
#define MAY_ARRIVE(r) (requestState[r] == idle && (r != 2 || requestState[0] != idle))

/* Processing of one request by its entry. */
proctype request(byte r)
{
    byte e = ENTRY_OF(r);
    do
    /* claim_requested: the key has no holder, or the claimant of the holder reports it as abandoned. */
    :: atomic { MAY_ARRIVE(r) && holder[e] == NONE ->
        accept(r, NONE)
       }
    :: atomic { MAY_ARRIVE(r) && holder[e] != NONE && REPORTS_ABANDONED(holder[e]) ->
        accept(r, holder[e])
       }
    /* write_claim_segment takes effect at once. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && nextSegment[e] < SEGMENTS && CAN_CREATE(nextSegment[e]) ->
        createSegment(nextSegment[e], claim_acquired, r, replaces[r]);
        if
        :: applySegment(e);
           if
           :: holder[e] == r -> grant(r)
           :: else -> skip
           fi
        /* The write took effect but its response is lost; the entry reads the segment back. */
        :: ON_LOST_RESPONSE(r)
        fi
       }
    /* The write is delayed and gets no response. Another segment may take its number before it takes effect. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && nextSegment[e] < SEGMENTS && CAN_CREATE(nextSegment[e]) && delayedRequest == NONE ->
        delayedRequest = r;
        delayedNumber = nextSegment[e];
        delayedReplaces = replaces[r];
        ON_LOST_RESPONSE(r)
       }
    /* The segment has been read back, and this request holds the key. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) && holder[e] == r -> grant(r) }
#ifdef GRANT_AFTER_GIVING_UP
    :: atomic { requestState[r] == abandoned && IS_CURRENT(r) && holder[e] == r -> grant(r) }
#endif
    /* claim_denied with claim_unavailable: the entry abandons the claim at any time before it is granted. */
    :: atomic { requestState[r] == claiming && IS_CURRENT(r) ->
        requestState[r] = abandoned;
        answerNotRun(r)
       }
    /* claim_released: the abandoned claim took effect, and its request is not going to be executed. */
    :: atomic { requestState[r] == abandoned && IS_CURRENT(r) && holder[e] == r && nextSegment[e] < SEGMENTS && segmentRequest[nextSegment[e]] == NONE ->
        createSegment(nextSegment[e], claim_released, r, NONE);
        applySegment(e)
       }
    /* The offer is sent again until the sidecar responds. A copy for a running attempt changes nothing. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && !offerInTransit[r] && attemptState[r] != running ->
        offerInTransit[r] = true
       }
    /* offer_refused or offer_withdrawn with started = false: the request was not executed, and the key is released. After
       wrong_incarnation or without a response the caller gets outcome_unknown, because copies may still be in transit. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && offerIncarnation[r] == sidecarIncarnation && attemptState[r] == withdrawn ->
        requestState[r] = abandoned;
        answerNotRun(r)
       }
#ifdef RETRY_AFTER_UNKNOWN
    /* wrong_incarnation: a new attempt is offered to the current incarnation. */
    :: atomic { requestState[r] == dispatched && IS_CURRENT(r) && offerIncarnation[r] != sidecarIncarnation ->
        offerIncarnation[r] = sidecarIncarnation;
        offerInTransit[r] = true
       }
#endif
    od
}

/* Reads the journal. One of the entries may be restarted, and then reads it from the start. */
proctype entry(byte e)
{
    do
    :: atomic { nextSegment[e] < SEGMENTS && segmentRequest[nextSegment[e]] != NONE -> applySegment(e) }
    :: atomic { entryRestarts < 1 ->
        entryRestarts++;
        entryIncarnation[e]++;
        nextSegment[e] = 0;
        holder[e] = NONE
       }
    od
}

/* Processing of one attempt by the sidecar. */
proctype attempt(byte r)
{
    do
    :: atomic { offerInTransit[r] ->
        offerInTransit[r] = false;
        if
#ifdef NO_TOMBSTONE
        :: attemptState[r] == withdrawn || attemptState[r] == running -> startRun(r)
#endif
        /* A known attempt: the sidecar responds with its state. */
        :: attemptState[r] != unknown_attempt -> skip
#ifdef NO_INCARNATION_CHECK
        :: attemptState[r] == unknown_attempt -> startRun(r)
#else
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] == sidecarIncarnation -> startRun(r)
        /* offer_refused: the sidecar stores the attempt as withdrawn (a tombstone). */
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] == sidecarIncarnation -> attemptState[r] = withdrawn
        /* wrong_incarnation: the attempt is not started. */
        :: attemptState[r] == unknown_attempt && offerIncarnation[r] != sidecarIncarnation -> skip
#endif
        fi
       }
    od
}

/* The sidecar is restarted and loses its attempts. */
proctype sidecar()
{
    atomic {
        sidecarIncarnation++;
        attemptState[0] = unknown_attempt;
        attemptState[1] = unknown_attempt;
        attemptState[2] = unknown_attempt
    }
}

/* The object API executes the delayed write if its segment number is still free. */
proctype object_api()
{
    do
    :: atomic { delayedRequest != NONE ->
        if
        :: segmentRequest[delayedNumber] == NONE -> createSegment(delayedNumber, claim_acquired, delayedRequest, delayedReplaces)
        :: else -> skip
        fi;
        delayedRequest = NONE;
        delayedNumber = NONE;
        delayedReplaces = NONE
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
