#include "sidecar/engine_event_mail.h"

#include <stdlib.h>
#include <string.h>

static int
post_event (struct bd_engine_sink *base, const struct bd_engine_event *event)
{
  struct bd_engine_mailbox_sink *sink = (struct bd_engine_mailbox_sink *)base;
  size_t type = event->content_type.length;
  size_t data = event->data.length;
  struct bd_engine_event_mail *mail = malloc (sizeof *mail + type + data);
  char *bytes;

  if (!mail)
    return BD_ERR_NOMEM;
  mail->event = *event;
  bytes = (char *)(mail + 1);
  if (type > 0)
    memcpy (bytes, event->content_type.data, type);
  if (data > 0)
    memcpy (bytes + type, event->data.data, data);
  mail->event.content_type.data = bytes;
  mail->event.data.data = bytes + type;
  bd_mailbox_post (sink->mailbox, &mail->mail);
  return BD_OK;
}

void
bd_engine_mailbox_sink_init (struct bd_engine_mailbox_sink *sink,
                             struct bd_mailbox *mailbox)
{
  sink->base.event = post_event;
  sink->mailbox = mailbox;
}

struct bd_engine_event_mail *
bd_engine_event_take (struct bd_mailbox *mailbox)
{
  return (struct bd_engine_event_mail *)bd_mailbox_take (mailbox);
}
