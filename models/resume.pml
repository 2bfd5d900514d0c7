/*
 * Liveness of failover: writes resume after a database outage, the crash of an
 * observer and a store outage, under weak fairness.  The logs are not modelled
 * here; models/failover.pml checks them.  docs/model.md explains the bounds.
 */
#define MAXT 6 /* highest term; an assertion checks that it is not reached */
#define IDLE 0
#define FENCING 1
#define PROMOTED 2

byte fence[3] = 1;
byte primary_term[3];
byte follows_term[3] = 1; /* term of the primary that it replicates from */
bool up[3] = true;
bool alive[2] = true;
bool store = true;

bool claimed;
byte sterm = 1;
byte owner;
byte primary;

byte pst[2];
byte claim_term[2];
byte fenced[2];
byte best[2];

bool healed;
bool resumed;

#define COUNT(m) (((m) &1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define LOST_PRIMARY                                                           \
  (!up[primary] || primary_term[primary] != sterm || fence[primary] != sterm)
/* The owner of the claim has stopped acting on it; claim_timeout has passed. */
#define STALLED(p)                                                             \
  (!alive[owner] || pst[owner] == IDLE || claim_term[owner] != sterm)
#ifdef MUTATE_NO_TAKE_OVER
#define MAY_CLAIM (!claimed && LOST_PRIMARY)
#else
#define MAY_CLAIM ((claimed && STALLED (owner)) || (!claimed && LOST_PRIMARY))
#endif

#define FENCE(d)                                                               \
  :: d_step { alive[p] && pst[p] == FENCING && up[d]                           \
    && !(fenced[p] & (1 << d)) && fence[d] <= claim_term[p];                   \
    fence[d] = claim_term[p]; fenced[p] = fenced[p] | (1 << d); best[p] = d }

#ifdef MUTATE_NO_REPAIR
#define MAY_REPAIR false
#else
#define MAY_REPAIR true
#endif

#define FOLLOW(d)                                                              \
  :: d_step { alive[p] && MAY_REPAIR && !claimed && d != primary               \
    && up[d] && up[primary] && fence[d] <= sterm                               \
    && follows_term[d] != sterm;                                               \
    fence[d] = sterm; follows_term[d] = sterm; primary_term[d] = 0 }

proctype observer (byte p)
{
end:
  do
  :: d_step { alive[p] && store && pst[p] == IDLE && MAY_CLAIM;
       assert (sterm < MAXT);
       sterm++; claimed = true; owner = p;
       pst[p] = FENCING; claim_term[p] = sterm; fenced[p] = 0 }
  FENCE (0)
  FENCE (1)
  FENCE (2)
  :: d_step { alive[p] && pst[p] == FENCING && COUNT (fenced[p]) >= 2 &&
       up[best[p]] && fence[best[p]] == claim_term[p];
       primary_term[best[p]] = claim_term[p]; follows_term[best[p]] = 0;
       pst[p] = PROMOTED }
  /* superseded by another claim, or the database to promote is unavailable */
  :: d_step { alive[p] && pst[p] != IDLE &&
       (claim_term[p] != sterm ||
         (pst[p] == FENCING && COUNT (fenced[p]) >= 2 && !up[best[p]]));
       pst[p] = IDLE; fenced[p] = 0 }
  :: d_step { alive[p] && store && pst[p] == PROMOTED && claimed &&
       sterm == claim_term[p];
       claimed = false; primary = best[p]; pst[p] = IDLE; fenced[p] = 0 }
  FOLLOW (0)
  FOLLOW (1)
  FOLLOW (2)
  od
}

/* Each fault occurs at most once, at any time. All faults end, except the crash
 * of an observer. */
proctype faults ()
{
  if
  :: up[0] = false
  :: up[1] = false
  :: skip
  fi;
  if
  :: alive[0] = false
  :: alive[1] = false
  :: skip
  fi;
  if
  :: store = false
  :: skip
  fi;
  store = true;
  d_step { up[0] = true; up[1] = true };
  healed = true
}

#define REPLICA(d)                                                             \
  (d != primary && follows_term[d] == sterm && fence[d] == sterm)

/* A gate acknowledges writes of the published primary. */
proctype gate ()
{
end:
  do
  :: d_step { healed && !resumed && primary_term[primary] == sterm &&
       fence[primary] == sterm &&
       (REPLICA (0) || REPLICA (1) || REPLICA (2));
       resumed = true }
  od
}

init
{
  atomic {
    primary_term[0] = 1; follows_term[0] = 0;
    run observer (0); run observer (1); run faults (); run gate ()
  }
}

ltl writes_resume { <> resumed }
