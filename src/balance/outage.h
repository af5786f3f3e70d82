/**
 * @file outage.h
 * Tells from the calls to a service that keeps leases whether it was away, and
 * for so long that leases may have expired by it.
 *
 * One failed call shows little: a call that waits may be cut, a connection may
 * fall silent, one call may be turned away, while the service serves everybody
 * else.  Makes no calls itself; the caller does.
 */
#ifndef BD_OUTAGE_H
#define BD_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** How a call failed. */
enum bd_outage_failure
{
  BD_OUTAGE_CALL_ANSWERED = 0, /**< The service responded, but not as it
                                  should. */
  BD_OUTAGE_CALL_CUT, /**< The call was waiting for something to happen. */
  BD_OUTAGE_CALL_LOST /**< It got no response. */
};

/** What the failed calls before a successful one show. */
enum bd_outage_verdict
{
  BD_OUTAGE_NONE = 0, /**< No call failed. */
  BD_OUTAGE_DOUBTFUL, /**< Nothing but a cut or an odd response. */
  BD_OUTAGE_SHORT,    /**< Too short for leases to expire by it. */
  BD_OUTAGE_LONG      /**< Leases may have expired. */
};

/** Zero-initialized, no call has failed. */
struct bd_outage
{
  uint32_t failures;   /**< Calls in a row that failed. */
  uint32_t unanswered; /**< Those of them, the last in a row, without any
                          response of the service. */
  int64_t began_ms;    /**< When the first of these was due. */
  enum bd_outage_verdict verdict;
};

/**
 * Records that a call failed at NOW_MS that was due by DUE_MS.  Returns
 * whether the service counts as away from now on.
 */
bool bd_outage_failed (struct bd_outage *outage, int64_t due_ms,
                       int64_t now_ms, enum bd_outage_failure failure);

/** Records that a call succeeded. */
enum bd_outage_verdict bd_outage_ended (struct bd_outage *outage,
                                        int64_t now_ms);

/** Returns the name of VERDICT in log lines. */
const char *bd_outage_verdict_name (enum bd_outage_verdict verdict);

#endif
