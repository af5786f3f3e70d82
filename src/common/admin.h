/**
 * @file admin.h
 * The admin HTTP port: probes, metrics, state and log lines, for GET only.
 * It changes nothing.
 *
 *     /healthz /readyz /metrics /metrics.json /status /runners /contracts
 *     /events /trace?request=ID
 */
#ifndef BD_ADMIN_H
#define BD_ADMIN_H

#include "common/metrics.h"

/**
 * What the daemon tells; embed as first member.  Called on the admin port's
 * threads, several at a time.  The functions append a JSON object and return
 * BD_OK or an error, which is answered as bd_error_answer () says.
 */
struct bd_admin_source
{
  /** True while the daemon takes new work. */
  bool (*ready) (struct bd_admin_source *source);
  int (*status) (struct bd_admin_source *source, struct bd_buffer *json);
  int (*runners) (struct bd_admin_source *source, struct bd_buffer *json);
  /** The contracts in force, without their credentials. */
  int (*contracts) (struct bd_admin_source *source, struct bd_buffer *json);
};

struct bd_admin;

/**
 * Listens on ADDRESS ("IP:PORT").  METRICS and SOURCE must outlive it.
 * Returns NULL and sets *ERROR to BD_ERR_IO when the port cannot be had, or
 * to BD_ERR_NOMEM.
 */
struct bd_admin *bd_admin_create (const char *address,
                                  const struct bd_metrics *metrics,
                                  struct bd_admin_source *source, int *error);

/** Stops listening, after the requests in progress. */
void bd_admin_destroy (struct bd_admin *admin);

#endif
