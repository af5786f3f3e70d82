#include "entry/call.h"
#include "common/clock.h"

#include <stdlib.h>
#include <string.h>

/* The call of a caller that leaves more than this unread is cancelled. */
#define UNREAD_MAX_BYTES ((size_t)4 * 1024 * 1024)

struct bd_http_call *
bd_http_call_create (void)
{
  struct bd_http_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->deliveries = bd_mailbox_create ();
  if (!call->deliveries)
    {
      free (call);
      return NULL;
    }
  call->request.request = bd_id_random ();
  bd_id_format (call->request.request, call->id_text);
  call->arrived_us = bd_clock_us ();
  return call;
}

void
bd_http_call_destroy (struct bd_http_call *call)
{
  struct bd_mail *mail;

  if (!call)
    return;
  while ((mail = bd_mailbox_take (call->deliveries)))
    free (mail);
  bd_mailbox_destroy (call->deliveries);
  bd_buffer_clear (&call->text_storage);
  bd_buffer_clear (&call->body);
  free (call);
}

void
bd_http_call_post (struct bd_http_call *call, struct bd_mailbox *control,
                   enum bd_http_call_step step)
{
  struct bd_http_call_mail *mail
      = step <= BD_CALL_ISSUE_KEY ? &call->submit : &call->final;

  mail->step = step;
  mail->call = call;
  bd_mailbox_post (control, &mail->mail);
}

void
bd_http_call_deliver (struct bd_http_call *call,
                      const struct bd_delivery *delivery)
{
  size_t type = delivery->content_type.length;
  size_t data = delivery->data.length;
  struct bd_delivery_mail *mail = malloc (sizeof *mail + type + data);
  char *bytes;

  if (!mail)
    {
      atomic_store (&call->slow, true);
      return;
    }
  mail->delivery = *delivery;
  bytes = (char *)(mail + 1);
  if (type > 0)
    memcpy (bytes, delivery->content_type.data, type);
  if (data > 0)
    memcpy (bytes + type, delivery->data.data, data);
  mail->delivery.content_type.data = bytes;
  mail->delivery.data.data = bytes + type;
  if (atomic_fetch_add (&call->pending_bytes, data) + data > UNREAD_MAX_BYTES)
    atomic_store (&call->slow, true);
  bd_mailbox_post (call->deliveries, &mail->mail);
}

struct bd_delivery_mail *
bd_http_call_wait (struct bd_http_call *call, int timeout_ms)
{
  struct bd_mail *mail = bd_mailbox_wait (call->deliveries, timeout_ms);
  struct bd_delivery_mail *taken = (struct bd_delivery_mail *)mail;

  if (taken)
    atomic_fetch_sub (&call->pending_bytes, taken->delivery.data.length);
  return taken;
}
