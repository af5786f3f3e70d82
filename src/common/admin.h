/**
 * @file admin.h
 * The admin HTTP server: health and readiness probes, metrics, state and
 * recent log lines.  It is read-only and accepts GET only.
 *
 *     /healthz /readyz /metrics /metrics.json /status /runners /contracts
 *     /events /trace?request=ID
 */
#ifndef BD_ADMIN_H
#define BD_ADMIN_H

#include "common/metrics.h"

/**
 * Callbacks that report the daemon's state; embed as first member.  The admin
 * server's threads call them concurrently.  Those with a JSON parameter append
 * a JSON object and return BD_OK, or an error that is answered with the status
 * and code of bd_error_answer ().
 */
struct bd_admin_source
{
  /** Returns true while the daemon accepts new work. */
  bool (*ready) (struct bd_admin_source *source);
  int (*status) (struct bd_admin_source *source, struct bd_buffer *json);
  int (*runners) (struct bd_admin_source *source, struct bd_buffer *json);
  /** Appends the active contracts, without their credentials. */
  int (*contracts) (struct bd_admin_source *source, struct bd_buffer *json);
};

struct bd_admin;

/**
 * Starts a server that listens on ADDRESS ("IP:PORT").  METRICS and SOURCE
 * must outlive it.  Returns NULL and sets *ERROR to BD_ERR_IO when it can't
 * listen on ADDRESS, or to BD_ERR_NOMEM.
 */
struct bd_admin *bd_admin_create (const char *address,
                                  const struct bd_metrics *metrics,
                                  struct bd_admin_source *source, int *error);

/** Waits for the requests in progress, then stops and frees the server. */
void bd_admin_destroy (struct bd_admin *admin);

#endif
