/* Checks that gateways obey what runners announce in their responses: a
   shutdown, or a pause without new requests. */
#include "soak.h"

/* Time from the response with an announcement until a gateway must obey it,
   and requests that a gateway may still send within a pause. */
#define LEAVING_GRACE_MS 2000
#define PAUSE_GRACE_MS 500
#define PAUSED_MAX 2

static struct soak_announcement *
announcement_to (struct soak *soak, struct soak_announcement *announcements,
                 int number)
{
  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_number (soak->gateways[i]) == number)
      return &announcements[i];
  return NULL;
}

/* Whether gateway NUMBER and PROXY have worked without a fault since time
   MS, so that the gateway knows of the announcement. */
static bool
stable_since (struct soak *soak, const struct soak_proxy *proxy, int number,
              int64_t ms)
{
  int64_t since = soak_now_ms (soak) - ms;

  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_number (soak->gateways[i]) == number)
      return soak_gateway_stable_ms (soak->gateways[i]) > since
             && soak_proxy_stable_ms (proxy) > since;
  return false;
}

void
soak_announcement_leaving (struct soak *soak,
                           struct soak_announcement *announcements,
                           int gateway)
{
  struct soak_announcement *at
      = announcement_to (soak, announcements, gateway);

  if (at && at->leaving_ms == 0)
    at->leaving_ms = soak_now_ms (soak);
}

void
soak_announcement_pause (struct soak *soak,
                         struct soak_announcement *announcements, int gateway,
                         int64_t ms)
{
  struct soak_announcement *at
      = announcement_to (soak, announcements, gateway);
  int64_t now = soak_now_ms (soak);

  if (!at || now + ms <= at->pause_until_ms)
    return;
  at->pause_ms = now;
  at->pause_until_ms = now + ms;
  at->requests_in_pause = 0;
}

void
soak_announcement_check (struct soak *soak,
                         struct soak_announcement *announcements,
                         const struct soak_proxy *proxy,
                         const struct soak_attempt *attempt)
{
  struct soak_announcement *at
      = announcement_to (soak, announcements, attempt->gateway);

  if (!at)
    return;
  if (at->leaving_ms != 0
      && attempt->sent_ms - at->leaving_ms > LEAVING_GRACE_MS
      && stable_since (soak, proxy, attempt->gateway, at->leaving_ms))
    soak_violation (soak, "DRAIN",
                    "%s sent by gateway %d, %lld ms after the announcement",
                    attempt->id, attempt->gateway,
                    (long long)(attempt->sent_ms - at->leaving_ms));
  if (attempt->sent_ms - at->pause_ms <= PAUSE_GRACE_MS
      || soak_now_ms (soak) >= at->pause_until_ms
      || !stable_since (soak, proxy, attempt->gateway, at->pause_ms))
    return;
  if (++at->requests_in_pause > PAUSED_MAX)
    soak_violation (soak, "BUDGET", "%s sent by gateway %d within a pause",
                    attempt->id, attempt->gateway);
}
