#include "sidecar/mail.h"

#include <stdlib.h>
#include <string.h>

static void
post_event (struct bd_engine_sink *sink, const struct bd_engine_event *event)
{
  struct bd_engine_post *post = (struct bd_engine_post *)sink;
  size_t type = event->content_type.length;
  size_t data = event->data.length;
  struct bd_engine_mail *mail = malloc (sizeof *mail + type + data);
  char *bytes;

  if (!mail)
    return;
  mail->event = *event;
  bytes = (char *)(mail + 1);
  if (type > 0)
    memcpy (bytes, event->content_type.data, type);
  if (data > 0)
    memcpy (bytes + type, event->data.data, data);
  mail->event.content_type.data = bytes;
  mail->event.data.data = bytes + type;
  bd_mailbox_post (post->box, &mail->mail);
}

void
bd_engine_post_init (struct bd_engine_post *post, struct bd_mailbox *box)
{
  post->sink.event = post_event;
  post->box = box;
}

struct bd_engine_mail *
bd_engine_mail_take (struct bd_mailbox *box)
{
  return (struct bd_engine_mail *)bd_mailbox_take (box);
}
