/*
 * Failover, replication, writes, reads and retries for one group of three
 * databases.  docs/model.md explains the properties, the bounds and the
 * mutations (MUTATE_*).
 *
 * Every step is a guarded action of one process.  A lost message, a partition,
 * a paused proxy, a store outage and a failed database are runs in which the
 * affected steps happen late or never, so none of them needs a variable.
 * A gate may use a report that a database could have sent at any later time,
 * which covers delayed and reordered replies.
 */
#include "group-state.pml"

/* ---- observers ---- */

inline start_fencing (p, term)
{
  pst[p] = FENCING; claim_term[p] = term; fenced[p] = 0; best[p] = 0;
  best_term[p] = 0; best_pos[p] = 0
}

inline abandon (p)
{
  pst[p] = IDLE; claim_term[p] = 0; fenced[p] = 0; best[p] = 0;
  best_term[p] = 0; best_pos[p] = 0
}

#ifdef MUTATE_SAME_TERM
#define SHARED_TERM true
#define ATTEMPT_ID(p) (claim_term[p] * 2)
#else
#define SHARED_TERM false
#define ATTEMPT_ID(p) (claim_term[p] * 2 + (p))
#endif

/* The store applies the claim's compare-and-swap. */
inline claim_written (p)
{
#ifdef MUTATE_SAME_TERM
  if
  :: claimed
  :: else -> sterm++
  fi;
#else
  sterm++;
#endif
  claimed = true;
  owner = p
}

/* At most one observer acts on the claim of a term. */
inline check_single_claim (p)
{
  assert (SHARED_TERM || claim_term[p] != claim_term[1 - (p)] ||
    pst[1 - (p)] < FENCING)
}

#ifdef MUTATE_SAME_TERM
#define CAN_CLAIM (sterm < MAXT || claimed)
#else
#define CAN_CLAIM (sterm < MAXT)
#endif

#define CLAIM(p)                                                               \
  ::d_step { pst[p] == IDLE && CAN_CLAIM;                                      \
    printf ("CLAIM %d\n", p);                                                  \
    claim_written (p); start_fencing (p, sterm);                               \
    check_single_claim (p); skip }                                             \
  ::d_step { pst[p] == IDLE && CAN_CLAIM;                                      \
    printf ("CLAIM %d\n", p);                                                  \
    claim_written (p); pst[p] = CLAIM_UNKNOWN; claim_term[p] = sterm }         \
  /* refused because the record has changed, and the reply is lost */          \
  ::d_step { pst[p] == IDLE && claimed && owner != p;                          \
    printf ("CLAIM %d\n", p);                                                  \
    pst[p] = CLAIM_UNKNOWN; claim_term[p] = sterm }

#ifdef MUTATE_READBACK_NO_ATTEMPT
#define OWNS_CLAIM(p) (claimed && sterm == claim_term[p])
#else
#define OWNS_CLAIM(p) (claimed && sterm == claim_term[p] && owner == (p))
#endif

#define READ_BACK(p)                                                           \
  ::d_step { pst[p] == CLAIM_UNKNOWN && OWNS_CLAIM (p);                        \
    printf ("READ_BACK %d\n", p);                                              \
    start_fencing (p, sterm); check_single_claim (p); skip }                   \
  ::d_step { pst[p] == CLAIM_UNKNOWN && !OWNS_CLAIM (p);                       \
    printf ("READ_BACK %d\n", p);                                              \
    abandon (p); skip }

/* An observer abandons its claim when the claim times out. */
#define GIVE_UP(p)                                                             \
  ::d_step { pst[p] >= FENCING;                                                \
    printf ("GIVE_UP %d\n", p);                                                \
    abandon (p); skip }

/* An attempt requests the promotion of only one database. */
#ifdef MUTATE_SECOND_TARGET
#define RETARGET(p)                                                            \
  ::d_step { pst[p] == PROMOTED;                                               \
    printf ("RETARGET %d\n", p);                                               \
    start_fencing (p, claim_term[p]); skip }
#else
#define RETARGET(p)
#endif

#define GRANTS_FENCE(p, d)                                                     \
  (claim_term[p] > fence[d]                                                    \
    || (claim_term[p] == fence[d] && ATTEMPT_ID (p) == fence_attempt[d]))

#define FENCE(p, d)                                                            \
  /* the reply is lost */                                                      \
  ::d_step { pst[p] == FENCING && claim_term[p] > fence[d];                    \
    printf ("FENCE %d %d\n", p, d);                                            \
    fence[d] = claim_term[p]; fence_attempt[d] = ATTEMPT_ID (p); skip }        \
  ::d_step { pst[p] == FENCING && GRANTS_FENCE (p, d)                          \
    && !(fenced[p] & (1 << d));                                                \
    printf ("FENCE %d %d\n", p, d);                                            \
    fence[d] = claim_term[p]; fence_attempt[d] = ATTEMPT_ID (p);               \
    fenced[p] = fenced[p] | (1 << d);                                          \
    if                                                                         \
    ::fenced[p] == (1 << d) || MORE_ADVANCED (p, d) ->                         \
       best[p] = d; best_term[p] = LAST (d); best_pos[p] = pos[d]              \
    ::else                                                                     \
    fi; skip }

#ifdef MUTATE_NOT_MOST_ADVANCED
#define MORE_ADVANCED(p, d) false
#elif defined(MUTATE_COMPARE_POSITION_ONLY)
#define MORE_ADVANCED(p, d) (pos[d] > best_pos[p])
#else
#define MORE_ADVANCED(p, d)                                                    \
  (LAST (d) > best_term[p]                                                     \
    || (LAST (d) == best_term[p] && pos[d] > best_pos[p]))
#endif

#ifdef MUTATE_PROMOTE_NO_MAJORITY
#define FENCED_MAJORITY(p) (fenced[p] != 0)
#else
#define FENCED_MAJORITY(p) (COUNT (fenced[p]) >= 2)
#endif

/* The log of the new primary d has all writes that were acknowledged or
 * returned by a read in earlier terms. */
inline check_promoted (d)
{
  w = KEYED;
  do
  :: w <= PLAIN ->
     if
     :: ((acked & (1 << w)) && token_term[w] < primary_term[d]) ||
       ((seen & (1 << w)) && shown_term[w] < primary_term[d]) ->
        has_values (1 << w, d); kept = ok; assert (kept)
     :: else
     fi;
     w++
  :: else -> break
  od
}

/* The observer's decision and the database's promotion are one step: a delayed
 * promotion is equivalent to an observer that is paused before the decision. */
#define PROMOTE(p, d)                                                          \
  ::d_step { pst[p] == FENCING && FENCED_MAJORITY (p) && best[p] == d          \
    && fence[d] == claim_term[p] && fence_attempt[d] == ATTEMPT_ID (p)         \
      && pos[d] < MAXP;                                                        \
    printf ("PROMOTE %d %d\n", p, d);                                          \
    pst[p] = PROMOTED;                                                         \
    if                                                                         \
    ::primary_term[d] != claim_term[p] ->                                      \
       /* one primary per term */                                              \
       assert (tdb[claim_term[p]] == NONE);                                    \
       tdb[claim_term[p]] = d; term_start[claim_term[p]] = pos[d];             \
       primary_term[d] = claim_term[p];                                        \
       source[d] = NONE; source_term[d] = 0;                                   \
       AT (d, pos[d]) = 4 * claim_term[p]; pos[d]++;                           \
       check_promoted (d);                                                     \
    ::else                                                                     \
    fi; skip }

#ifdef MUTATE_PUBLISH_NO_CAS
#define PUBLISHABLE(p) true
#else
#define PUBLISHABLE(p) (claimed && sterm == claim_term[p] && owner == (p))
#endif

#define PUBLISH(p)                                                             \
  ::d_step { pst[p] == PROMOTED && PUBLISHABLE (p);                            \
    printf ("PUBLISH %d\n", p);                                                \
    /* the record never returns to an earlier term */                          \
    assert (claim_term[p] >= sterm);                                           \
    claimed = false; published[claim_term[p]] = true; abandon (p); skip }

/* ---- databases ---- */

/* Truncates the log of d where it diverges from the log of s. */
inline truncate (d, s)
{
#ifdef MUTATE_TRUNCATE_NEWEST_START
  i = term_start[primary_term[s]];
#elif defined(MUTATE_TRUNCATE_FIRST_ABOVE)
  /* start of the first term of s above the last term of d */
  i = 0;
  do
  :: i < pos[s] && TERM (AT (s, i)) <= LAST (d) -> i++
  :: else -> break
  od;
#else
  /* first position at which the terms differ */
  i = 0;
  do
  :: i < pos[d] && i < pos[s] && TERM (AT (d, i)) == TERM (AT (s, i)) -> i++
  :: else -> break
  od;
#endif
  do
  :: pos[d] > i -> pos[d]--; AT (d, pos[d]) = 0
  :: else -> break
  od;
  i = 0
}

/* One of the logs of d and s is a prefix of the other. */
inline check_prefix (d, s)
{
  i = 0;
  do
  :: i < pos[d] && i < pos[s] -> assert (AT (d, i) == AT (s, i)); i++
  :: else -> break
  od;
  i = 0
}

#define FOLLOW(d, s)                                                           \
  ::d_step { d != s && primary_term[s] && published[primary_term[s]]           \
    && primary_term[s] >= fence[d]                                             \
    && source_term[d] != primary_term[s];                                      \
    printf ("FOLLOW %d %d\n", d, s);                                           \
    if                                                                         \
    ::fence[d] < primary_term[s] ->                                            \
       fence[d] = primary_term[s]; fence_attempt[d] = 0                        \
    ::else                                                                     \
    fi;                                                                        \
    primary_term[d] = 0; source[d] = s; source_term[d] = primary_term[s];      \
    truncate (d, s); check_prefix (d, s); skip }

#define REPLICATE(d, s)                                                        \
  ::d_step { d != s && source[d] == s && source_term[d] == primary_term[s]     \
    && fence[d] <= source_term[d] && pos[d] < pos[s];                          \
    printf ("REPLICATE %d %d\n", d, s);                                        \
    AT (d, pos[d]) = AT (s, pos[d]); pos[d]++;                                 \
    check_prefix (d, s); skip }

/* ---- writes ---- */

#define DISPATCH                                                               \
  ::d_step { attempts < 2 && !notrun && !(acked & (1 << KEYED));               \
    printf ("DISPATCH\n");                                                     \
    attempts++ }

#ifdef MUTATE_NO_KEY
#define IS_DUPLICATE false
#else
#define IS_DUPLICATE (values & (1 << KEYED))
#endif

/* The primary d executes the keyed write. A duplicate returns the stored
 * outcome and is released like a read of the primary. */
#define EXECUTE_KEYED(d)                                                       \
  ::d_step { attempts > 0 && SERVES (d) && pos[d] < MAXP;                      \
    printf ("EXECUTE_KEYED %d\n", d);                                          \
    attempts--;                                                                \
    has_values (1 << KEYED, d);                                                \
    if                                                                         \
    ::IS_DUPLICATE                                                             \
    ::else ->                                                                  \
       AT (d, pos[d]) = 4 * primary_term[d] + KEYED; pos[d]++;                 \
       /* the client was not answered that it did not run */                   \
       assert (!notrun)                                                        \
    fi;                                                                        \
    ran = true; WRITE_POS (KEYED, primary_term[d]) = pos[d];                   \
    check_once (d); skip }

/* A database refuses the write if it is not the primary of the connection's
 * term. */
#define REFUSE                                                                 \
  ::d_step { attempts > 0 && sterm > 1;                                        \
    printf ("REFUSE\n");                                                       \
    attempts--; refused = true }

#ifdef MUTATE_NOT_RUN_AFTER_UNKNOWN
#define MAY_ANSWER_NOT_RUN refused
#else
#define MAY_ANSWER_NOT_RUN (attempts == 0 && !ran)
#endif

#define ANSWER_NOT_RUN                                                         \
  ::d_step { !notrun && !(acked & (1 << KEYED)) && MAY_ANSWER_NOT_RUN;         \
    printf ("ANSWER_NOT_RUN\n");                                               \
    assert (!ran); notrun = true }

#define EXECUTE_PLAIN(d)                                                       \
  ::d_step { WRITE_POS (PLAIN, 0) == 0 && SERVES (d) && pos[d] < MAXP;         \
    printf ("EXECUTE_PLAIN %d\n", d);                                          \
    WRITE_POS (PLAIN, 0) = 1;                                                  \
    AT (d, pos[d]) = 4 * primary_term[d] + PLAIN; pos[d]++;                    \
    WRITE_POS (PLAIN, primary_term[d]) = pos[d]; skip }

/* Writes of other clients only append a record without a value. */
#define EXECUTE_OTHER(d)                                                       \
  ::d_step { SERVES (d) && pos[d] < MAXP;                                      \
    printf ("EXECUTE_OTHER %d\n", d);                                          \
    AT (d, pos[d]) = 4 * primary_term[d]; pos[d]++ }

#ifdef MUTATE_ACK_KNOWN_TERM
#define MAY_ACK(t) true
#else
#define MAY_ACK(t) (known <= (t))
#endif

/* These mutations must violate the check for lost writes, not this one. */
#if defined(MUTATE_IGNORE_FENCE) || defined(MUTATE_ACK_NO_MAJORITY)
#define WAS_REPORTED(t, p) true
#else
#define WAS_REPORTED(t, p) REPORTED_BY_OTHER (REPORTED, t, p)
#endif

#define RELEASE(v, t)                                                          \
  acked = acked | (1 << v); token_term[v] = t;                                 \
  token_pos[v] = WRITE_POS (v, t);                                             \
  assert (WAS_REPORTED (t, WRITE_POS (v, t)));                                 \
  check_kept (1 << v, t)

/* The answer is released by proxy 0 or by a gate that has applied any record,
 * however old. */
#define ACKNOWLEDGE(v, t)                                                      \
  ::d_step { !(acked & (1 << v)) && WRITE_POS (v, t)                           \
    && EVIDENCE (t, WRITE_POS (v, t));                                         \
    printf ("ACKNOWLEDGE %d %d\n", v, t);                                      \
    RELEASE (v, t); skip }

/* ---- reads ---- */

/* Records the values that a read on d in term t returned and checks that later
 * primaries have them. */
inline record_shown (d, t)
{
  has_values (0, d);
  w = KEYED;
  do
  :: w <= PLAIN ->
     if
     :: (values & (1 << w)) && (!(seen & (1 << w)) || t < shown_term[w]) ->
        seen = seen | (1 << w); shown_term[w] = t
     :: else
     fi;
     w++
  :: else -> break
  od;
  check_kept (values & 6, t)
}

/* A read is released like a write: its last log record is on a majority. */
#ifdef MUTATE_READ_REPLICA_AT_ONCE
#define RELEASED(d) (!primary_term[d] || EVIDENCE (LAST (d), pos[d]))
#else
#define RELEASED(d) EVIDENCE (LAST (d), pos[d])
#endif

#define READ(d)                                                                \
  ::d_step { (SERVES (d) || (!primary_term[d] && published[LAST (d)]))         \
    && RELEASED (d);                                                           \
    printf ("READ %d\n", d);                                                   \
    record_shown (d, LAST (d)); skip }

/* A fresh read before the first acknowledgement would have nothing to check. */
#ifdef MUTATE_OLD_ROUND
#define MAY_BEGIN_FRESH true
#else
#define MAY_BEGIN_FRESH acked
#endif

#define FRESH_BEGINS                                                           \
  ::d_step { fresh_begun == 0 && MAY_BEGIN_FRESH;                              \
    printf ("FRESH_BEGINS\n");                                                 \
    fresh_begun = 1; fresh_acked = acked }

#define FRESH_ANSWER(d)                                                        \
  ::d_step { fresh_begun == 1 && !(fresh_answers & (1 << d))                   \
    && COUNT (fresh_answers) < 2;                                              \
    printf ("FRESH_ANSWER %d\n", d);                                           \
    fresh_answers = fresh_answers | (1 << d);                                  \
    if                                                                         \
    ::LAST (d) > fresh_term                                                    \
      || (LAST (d) == fresh_term && pos[d] > fresh_pos) ->                     \
       fresh_term = LAST (d); fresh_pos = pos[d]                               \
    ::else                                                                     \
    fi; skip }

/* ---- proxy 0 as a gate that applies newer records ---- */

#define LEARN(t)                                                               \
  ::d_step { known < t && published[t];                                        \
    printf ("LEARN %d\n", t);                                                  \
    known = t }

/* A proxy never answers from a term older than the newest record that it has
 * applied. */
#define ACKNOWLEDGE_KNOWN(v, t)                                                \
  ::d_step { !(acked & (1 << v)) && MAY_ACK (t) && WRITE_POS (v, t)            \
    && EVIDENCE (t, WRITE_POS (v, t));                                         \
    printf ("ACKNOWLEDGE_KNOWN %d %d\n", v, t);                                \
    assert (known <= t); RELEASE (v, t); skip }

#define EACH_DB(step) step (0) step (1) step (2)
#define EACH_DB2(step, x) step (x, 0) step (x, 1) step (x, 2)
#define EACH_PAIR(step)                                                        \
  step (0, 1) step (0, 2) step (1, 0) step (1, 2) step (2, 0) step (2, 1)
#if MAXT == 3
#define EACH_TERM(step, x) step (x, 1) step (x, 2) step (x, 3)
#else
#define EACH_TERM(step, x) step (x, 1) step (x, 2) step (x, 3) step (x, 4)
#endif
#define OBSERVER(p)                                                            \
  CLAIM (p) READ_BACK (p) GIVE_UP (p) RETARGET (p)                             \
  EACH_DB2 (FENCE, p)                                                          \
  EACH_DB2 (PROMOTE, p) PUBLISH (p)

inline initialize ()
{
  i = 0;
  do
  :: i < 3 ->
     AT (i, 0) = 4; pos[i] = 1; fence[i] = 1; REPORTED (i, 1) = 1;
     source[i] = (i == 0 -> NONE : 0); source_term[i] = (i == 0 -> 0 : 1);
     i++
  :: else -> break
  od;
  primary_term[0] = 1; sterm = 1; published[1] = true;
  i = 2;
  do
  :: i <= MAXT -> tdb[i] = NONE; i++
  :: else -> break
  od;
  i = 0
}

active proctype group ()
{
  d_step { initialize () };
end:
  do
  :: atomic {
  if
  OBSERVER (0)
  OBSERVER (1)
  EACH_PAIR (FOLLOW)
  EACH_PAIR (REPLICATE)
#ifdef KEYED_WRITE
  DISPATCH
  REFUSE
  ANSWER_NOT_RUN
  EACH_DB (EXECUTE_KEYED)
  EACH_TERM (ACKNOWLEDGE, KEYED)
#endif
#ifdef PLAIN_WRITE
  EACH_DB (EXECUTE_PLAIN)
  EACH_TERM (ACKNOWLEDGE, PLAIN)
#endif
#ifdef OTHER_WRITES
  EACH_DB (EXECUTE_OTHER)
#endif
#ifdef READS
  EACH_DB (READ)
#endif
#ifdef FRESH
  FRESH_BEGINS
  EACH_DB (FRESH_ANSWER)
#endif
#ifdef GATE
  LEARN (2)
  LEARN (3)
  EACH_TERM (ACKNOWLEDGE_KNOWN, PLAIN)
#endif
  fi;
  d_step { check (); skip }
  }
  od
}
