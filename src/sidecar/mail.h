/**
 * @file mail.h
 * Engine events on their way from the engine's thread to the control thread.
 */
#ifndef BD_SIDECAR_MAIL_H
#define BD_SIDECAR_MAIL_H

#include "common/mailbox.h"
#include "sidecar/engine.h"

/** A copy of an engine event. */
struct bd_engine_event_mail
{
  struct bd_mail mail;
  struct bd_engine_event event;
};

/** A sink that posts copies to a mailbox. */
struct bd_engine_mailbox_sink
{
  struct bd_engine_sink base;
  struct bd_mailbox *mailbox;
};

/** Sets up POST to deliver to BOX. */
void bd_engine_mailbox_sink_init (struct bd_engine_mailbox_sink *sink,
                                  struct bd_mailbox *mailbox);

/** Takes the oldest event, or returns NULL.  Free with free (). */
struct bd_engine_event_mail *bd_engine_event_take (struct bd_mailbox *mailbox);

#endif
