/*
 * State of one group and the checks of that state; included by failover.pml.
 */
#ifndef MAXT
#define MAXT 3 /* highest term; term 1 is the initial primary's */
#endif
#ifndef MAXP
#define MAXP 4 /* log records per database */
#endif
#define NONE 3 /* no database */
#define KEYED 1 /* value of the write with an idempotency key */
#define PLAIN 2 /* value of the write without a key */

#define AT(d, i) lg[(d) *MAXP + (i)]
#define TERM(r) ((r) / 4)
#define VALUE(r) ((r) % 4)
#define LAST(d) TERM (AT (d, pos[d] - 1))
#define REPORTED(d, t) reported[(d) * (MAXT + 1) + (t)]
#define WRITE_POS(w, t) write_pos[((w) -1) * (MAXT + 1) + (t)]
#define COUNT(m) (((m) &1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* databases */
byte lg[3 * MAXP];     /* log records: 4 * term + value */
byte pos[3];           /* end of the log */
byte fence[3];         /* fence_term */
byte fence_attempt[3]; /* attempt that set the fence */
byte primary_term[3];  /* term in which the database is primary, 0: replica */
byte source[3];        /* primary that it replicates from */
byte source_term[3];   /* term of that primary */

/* store: the group's record and the history of its terms */
bool claimed;
byte sterm;
byte owner;
byte tdb[MAXT + 1];        /* database promoted in the term */
byte term_start[MAXT + 1]; /* start position of the term */
bool published[MAXT + 1];  /* the record of the term was published */

/* observers */
#define IDLE 0
#define CLAIM_UNKNOWN 1 /* the reply to the claim's compare-and-swap is lost */
#define FENCING 2
#define PROMOTED 3
byte pst[2];        /* state of the observer */
byte claim_term[2]; /* term of the claim */
byte fenced[2];     /* databases that granted the fence (bit mask) */
byte best[2];       /* most advanced of them, with its last log position */
byte best_term[2];
byte best_pos[2];

/* gates, fronts and clients */
byte reported[3 * (MAXT + 1)];  /* highest reported position of a term */
byte write_pos[2 * (MAXT + 1)]; /* position in the reply to a write in a term */
byte acked;         /* writes answered as done (bit mask of values) */
byte seen;          /* writes that a released read returned (bit mask) */
byte shown_term[3]; /* lowest term in which a read returned the value */
byte token_term[3]; /* session token of each write */
byte token_pos[3];
byte known;    /* highest term in the records that proxy 0 has applied */
byte attempts; /* attempts of the keyed write without a result */
bool ran;      /* an attempt was executed */
bool refused;  /* an attempt was refused by a database */
bool notrun;   /* the client was answered that the write did not run */

/* one fresh read */
byte fresh_begun;
byte fresh_acked;   /* writes acknowledged before it began */
byte fresh_answers; /* databases that answered its round (bit mask) */
byte fresh_term;    /* most advanced position among the answers */
byte fresh_pos;

#ifdef MUTATE_IGNORE_FENCE
/* like reported, also from databases with a newer fence */
byte reported_any[3 * (MAXT + 1)];
#define EVIDENCE_POS(d, t) reported_any[(d) * (MAXT + 1) + (t)]
#else
#define EVIDENCE_POS(d, t) REPORTED (d, t)
#endif

/* A database other than the primary of term t has reported position p or a
 * later one in term t. */
#define REPORTED_BY_OTHER(X, t, p)                                             \
  ((tdb[t] != 0 && X (0, t) >= (p)) || (tdb[t] != 1 && X (1, t) >= (p))        \
   || (tdb[t] != 2 && X (2, t) >= (p)))
#ifdef MUTATE_ACK_NO_MAJORITY
#define EVIDENCE(t, p) true
#else
#define EVIDENCE(t, p) REPORTED_BY_OTHER (EVIDENCE_POS, t, p)
#endif

/* scratch variables, zero between steps */
hidden byte i;
hidden byte j;
hidden byte k;
hidden byte w;
hidden byte values;
hidden byte ok;
/* results of checks; their names appear in the report of a violation */
hidden byte own_write; /* a session read returns the session's write */
hidden byte fresh;     /* a fresh read returns what was acknowledged before */
hidden byte kept;      /* a primary has all acknowledged and returned writes */

/* Sets ok if the log of d has every write of mask. */
inline has_values (mask, d)
{
  values = 0;
  i = 0;
  do
  :: i < pos[d] -> values = values | (1 << VALUE (AT (d, i))); i++
  :: else -> break
  od;
  ok = ((mask) & ~values & 6) == 0
}

/* Sets ok if a published record has the last term of d and, by that record, the
 * log of d contains position p of term t. */
inline covers (d, t, p)
{
  ok = published[LAST (d)] && LAST (d) >= (t) && pos[d] >= (p);
  j = (t) + 1;
  do
  :: j <= LAST (d) -> ok = ok && (!published[j] || (p) <= term_start[j]); j++
  :: else -> break
  od;
#ifdef MUTATE_REPLICA_NO_TOKEN
  ok = published[LAST (d)];
#endif
  j = 0
}

/* No write is twice in the log of d. */
inline check_once (d)
{
  j = 0;
  do
  :: j < pos[d] ->
     k = 0;
     do
     :: k < j ->
        assert (VALUE (AT (d, j)) == 0 ||
          VALUE (AT (d, j)) != VALUE (AT (d, k)));
        k++
     :: else -> break
     od;
     j++
  :: else -> break
  od
}

/* d is the primary of a published record and has no newer fence. */
#define SERVES(d)                                                              \
  (primary_term[d] && fence[d] == primary_term[d]                              \
    && published[primary_term[d]])

/* The primary d has reached the token of the write w. */
#ifdef MUTATE_PRIMARY_NO_TOKEN
#define AFTER_TOKEN(d, w) true
#else
#define AFTER_TOKEN(d, w)                                                      \
  (primary_term[d] > token_term[w]                                             \
    || (primary_term[d] == token_term[w] && pos[d] >= token_pos[w]))
#endif

/* Records the report that d could send and checks session reads on d. */
inline check_database (d)
{
  if
  :: fence[d] <= LAST (d) && REPORTED (d, LAST (d)) < pos[d] ->
     REPORTED (d, LAST (d)) = pos[d]
  :: else
  fi;
#ifdef MUTATE_IGNORE_FENCE
  if
  :: reported_any[(d) * (MAXT + 1) + LAST (d)] < pos[d] ->
     reported_any[(d) * (MAXT + 1) + LAST (d)] = pos[d]
  :: else
  fi;
#endif
  w = KEYED;
  do
  :: w <= PLAIN ->
     if
     :: acked & (1 << w) ->
        /* session read on any database that contains the token's position */
        covers (d, token_term[w], token_pos[w]);
        if
        :: ok -> has_values (1 << w, d); own_write = ok; assert (own_write)
        :: else
        fi;
        /* session read on a primary */
        if
        :: SERVES (d) && EVIDENCE (primary_term[d], pos[d]) &&
          AFTER_TOKEN (d, w) ->
           has_values (1 << w, d); own_write = ok; assert (own_write)
        :: else
        fi
     :: else
     fi;
     w++
  :: else -> break
  od;
#ifdef FRESH
  if
  :: COUNT (fresh_answers) >= 2 ->
     covers (d, fresh_term, fresh_pos);
     if
#ifdef MUTATE_OLD_ROUND
     :: ok -> has_values (acked, d); fresh = ok; assert (fresh)
#else
     :: ok -> has_values (fresh_acked, d); fresh = ok; assert (fresh)
#endif
     :: else
     fi
  :: else
  fi;
#endif
  ok = 0
}

inline check ()
{
  check_database (0);
  check_database (1);
  check_database (2);
  i = 0; j = 0; k = 0; w = 0; values = 0; ok = 0
}

/* Every primary of a term above t has all writes of mask; otherwise a write is
 * lost. */
inline check_kept (mask, t)
{
  k = mask;
  w = 0;
  do
  :: w < 3 ->
     if
     :: primary_term[w] > (t) -> has_values (k, w); kept = ok; assert (kept)
     :: else
     fi;
     w++
  :: else -> break
  od
}
