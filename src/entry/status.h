/**
 * @file status.h
 * The status of an entry and its runners, as JSON for operators.
 */
#ifndef BD_STATUS_H
#define BD_STATUS_H

#include "common/settings.h"
#include "dispatch/dispatch.h"
#include "membership/membership.h"
#include "wire/link.h"

/** Sources of the status, borrowed for the duration of a call. */
struct bd_status_input
{
  const struct bd_settings *settings;
  uint64_t incarnation;
  const struct bd_config *config;
  struct bd_dispatch *dispatch;
  const struct bd_membership *membership;
  const struct bd_link_counts *counts;
  uint64_t platform_calls;
  bool watching;
  bool leaving;
};

/** Appends the entry's status.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_status_write (const struct bd_status_input *input,
                     struct bd_buffer *json);

/** Appends {"runners": […]}.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_status_runners (const struct bd_status_input *input, int64_t now_ms,
                       struct bd_buffer *json);

#endif
