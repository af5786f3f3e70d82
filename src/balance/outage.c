#include "balance/outage.h"

/* Failed calls in a row from which on the service counts as away. */
#define FAILURES_MIN 2
/* No lease is shorter than this. */
#define LEASE_MIN_MS 1000

static void
raise_verdict (struct bd_outage *outage, enum bd_outage_verdict verdict)
{
  if (outage->verdict < verdict)
    outage->verdict = verdict;
}

/* Ends the calls in a row without a response. */
static void
end_unanswered (struct bd_outage *outage, int64_t now_ms)
{
  if (outage->unanswered >= FAILURES_MIN)
    raise_verdict (outage, now_ms - outage->began_ms >= LEASE_MIN_MS
                               ? BD_OUTAGE_LONG
                               : BD_OUTAGE_SHORT);
  outage->unanswered = 0;
}

bool
bd_outage_failed (struct bd_outage *outage, int64_t due_ms, int64_t now_ms,
                  enum bd_outage_failure failure)
{
  raise_verdict (outage, failure == BD_OUTAGE_CALL_LOST ? BD_OUTAGE_SHORT
                                                        : BD_OUTAGE_DOUBTFUL);
  if (failure == BD_OUTAGE_CALL_ANSWERED)
    end_unanswered (outage, now_ms);
  else if (outage->unanswered++ == 0)
    outage->began_ms = due_ms < now_ms ? due_ms : now_ms;
  return ++outage->failures == FAILURES_MIN;
}

enum bd_outage_verdict
bd_outage_ended (struct bd_outage *outage, int64_t now_ms)
{
  enum bd_outage_verdict verdict;

  end_unanswered (outage, now_ms);
  verdict = outage->verdict;
  *outage = (struct bd_outage){ 0 };
  return verdict;
}

const char *
bd_outage_verdict_name (enum bd_outage_verdict verdict)
{
  static const char *const names[] = { "none", "doubtful", "short", "long" };

  return names[verdict];
}
