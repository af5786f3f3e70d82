/* Calls of HTTP threads, at the control thread. */

#include "common/clock.h"
#include "common/log.h"
#include "common/map.h"
#include "entry/control.h"

#include <string.h>

#define KEY_LIFETIME_MS ((int64_t)24 * 3600 * 1000)

static void
issue_key (struct bd_entry *e, int64_t wall_ms, struct bd_http_call *call)
{
  struct bd_delivery reply
      = { .kind = BD_DELIVERY_FAIL, .error = BD_ERR_NO_RUNNER };
  struct bd_token token = {
    .workspace = bd_chunk_hash (call->request.workspace),
    .class_id = bd_chunk_hash (call->request.class_name),
    .created_wall_ms = wall_ms,
    .expires_wall_ms = wall_ms + KEY_LIFETIME_MS,
    .id = bd_id_random (),
  };
  struct bd_buffer text = { 0 };
  struct bd_chunk owner;

  if (bd_dispatch_key_owner (e->dispatch, call->request.pool, &owner,
                             &token.incarnation)
      && owner.length <= BD_IDEMPOTENCY_NAME_BYTES)
    {
      memcpy (token.first_owner, owner.data, owner.length);
      if (bd_token_seal (e->keys.keys[0], &token, &text) == BD_OK)
        {
          reply.kind = BD_DELIVERY_DATA;
          reply.data = bd_buffer_chunk (&text);
        }
    }
  bd_http_call_deliver (call, &reply);
  bd_buffer_clear (&text);
}

static void
submit_call (struct bd_entry *e, int64_t now_ms, struct bd_http_call *call)
{
  struct bd_delivery failure
      = { .kind = BD_DELIVERY_FAIL, .error = BD_ERR_NOMEM };

  if (bd_map_put (e->calls, call->request.request, 0, call) != BD_OK)
    {
      bd_http_call_deliver (call, &failure);
      return;
    }
  bd_dispatch_submit (e->dispatch, now_ms, &call->request);
}

static void
remove_call (struct bd_entry *e, struct bd_http_call *call)
{
  bd_map_remove (e->calls, call->request.request, 0);
  bd_http_call_destroy (call);
}

static void
handle_call_mail (struct bd_entry *e, int64_t now_ms,
                  struct bd_http_call_mail *mail)
{
  struct bd_http_call *call = mail->call;

  switch (mail->step)
    {
    case BD_CALL_SUBMIT:
      submit_call (e, now_ms, call);
      break;
    case BD_CALL_ISSUE_KEY:
      issue_key (e, bd_clock_wall_ms (), call);
      break;
    case BD_CALL_DELIVERED:
      bd_log (BD_EVENT_REQUEST_DONE, "request=%s time_us=%lld", call->id_text,
              (long long)(bd_clock_us () - call->arrived_us));
      bd_dispatch_confirm_delivery (e->dispatch, now_ms,
                                    call->request.request);
      remove_call (e, call);
      break;
    case BD_CALL_CANCELLED:
      bd_dispatch_cancel (e->dispatch, now_ms, call->request.request);
      remove_call (e, call);
      break;
    case BD_CALL_RELEASED:
      remove_call (e, call);
      break;
    }
}

void
bd_control_read_calls (struct bd_entry *e)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->control_mailbox)))
    handle_call_mail (e, bd_clock_ms (), (struct bd_http_call_mail *)mail);
}

void
bd_control_cancel_slow_calls (struct bd_entry *e, int64_t now_ms)
{
  struct bd_http_call *call;
  size_t cursor = 0;

  while ((call = bd_map_next (e->calls, &cursor)))
    if (atomic_exchange (&call->slow, false))
      bd_dispatch_cancel (e->dispatch, now_ms, call->request.request);
}

void
bd_control_free_calls (struct bd_entry *e)
{
  struct bd_mail *mail;
  struct bd_http_call *call;
  size_t cursor = 0;

  while ((mail = bd_mailbox_take (e->control_mailbox)))
    {
      struct bd_http_call_mail *call_mail = (struct bd_http_call_mail *)mail;

      if (call_mail->step > BD_CALL_ISSUE_KEY)
        remove_call (e, call_mail->call);
    }
  while ((call = bd_map_next (e->calls, &cursor)))
    bd_http_call_destroy (call);
}
