#include "refusal.h"

/* Time that a change of primary which takes longer than usual is expected to
   take in addition. */
#define REFUSAL_OVERDUE_US (500 * TOU_US_PER_MS)
/* Time to receive the proofs of a new record: two heartbeats and a lost one. */
#define REFUSAL_PROOF_US (400 * TOU_US_PER_MS)
/* A primary that half of its gateways cannot reach is replaced in this time. */
#define REFUSAL_SUSPECT_US (700 * TOU_US_PER_MS)
/* A statement waits this long before it is sent to another node, but at most
   this share of its time limit, so that the three tries of a client last longer
   than a change of primary. */
#define REFUSAL_HOLD_US (1000 * TOU_US_PER_MS)
#define REFUSAL_HOLD_SHARE 3

static TouRefusalVerdict
refusal_wait_for_change (const TouRefusalInput *input, guint64 usual_us)
{
  TouRefusalVerdict verdict = { TOU_REFUSAL_WAIT, { 0 } };
  guint64 expected_us = MAX (usual_us - MIN (input->cause_us, usual_us),
                             (guint64)REFUSAL_OVERDUE_US);

  if (input->left_us >= expected_us)
    return verdict;
  verdict.kind = TOU_REFUSAL_LATER;
  verdict.as.retry_us = expected_us;
  return verdict;
}

/* TRUE if the statement has waited as long as it should before a refusal that
   the client may answer by retrying immediately. */
static gboolean
refusal_was_held (const TouRefusalInput *input)
{
  return input->waited_us
         >= MIN (REFUSAL_HOLD_US,
                 (input->waited_us + input->left_us) / REFUSAL_HOLD_SHARE);
}

/* @param usual_us time after which the cause has usually ended */
static TouRefusalVerdict
refusal_send_elsewhere (const TouRefusalInput *input, guint64 usual_us)
{
  TouRefusalVerdict verdict = { TOU_REFUSAL_WAIT, { 0 } };

  if (input->cause_us >= usual_us && refusal_was_held (input))
    verdict.kind = TOU_REFUSAL_ELSEWHERE;
  return verdict;
}

/* The change has not been announced, and the primary may answer again, so a
   statement is not refused at once. If the change does not come, other nodes do
   reach the primary. */
static TouRefusalVerdict
refusal_on_loss (const TouRefusalInput *input)
{
  TouRefusalVerdict verdict = { TOU_REFUSAL_WAIT, { 0 } };

  if (input->cause_us >= TOU_REFUSAL_LOSS_US)
    return refusal_send_elsewhere (input, TOU_REFUSAL_LOSS_US);
  return refusal_was_held (input)
             ? refusal_wait_for_change (input, TOU_REFUSAL_LOSS_US)
             : verdict;
}

TouRefusalVerdict
tou_refusal_decide (const TouRefusalInput *input)
{
  TouRefusalVerdict verdict = { TOU_REFUSAL_WAIT, { 0 } };

  /* Only this node is affected, so another one serves the statement. */
  if (input->isolated && input->cause_us >= REFUSAL_PROOF_US)
    {
      verdict.kind = TOU_REFUSAL_ELSEWHERE;
      return verdict;
    }
  switch (input->cause)
    {
    case TOU_REFUSAL_CHANGING:
      return refusal_wait_for_change (input, TOU_REFUSAL_CHANGE_US);
    case TOU_REFUSAL_LOST:
      return refusal_on_loss (input);
    case TOU_REFUSAL_UNPROVED:
      return refusal_send_elsewhere (input, REFUSAL_PROOF_US);
    case TOU_REFUSAL_UNREACHABLE:
      return refusal_send_elsewhere (input, REFUSAL_SUSPECT_US);
    }
  return verdict;
}
