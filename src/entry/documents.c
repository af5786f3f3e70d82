/* Documents of the platform's service, from the watcher's thread to what is
   in force. */

#include "common/log.h"
#include "entry/control.h"

#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Longest wait for documents that do not come, at the start. */
#define FIRST_DOCUMENTS_MS 10000

/* A document from the platform's service, on its way to the control
   thread. */
struct document_mail
{
  struct bd_mail mail;
  struct bd_chunk name;
  struct bd_chunk json;
  int64_t sent_ms; /* Of a confirmation, whose JSON is empty. */
};

static struct bd_entry *
of_watch (struct bd_watch_sink *sink)
{
  return (struct bd_entry *)((char *)sink
                             - offsetof (struct bd_entry, watch_sink));
}

static void
post_document (struct bd_entry *e, struct bd_chunk name, struct bd_chunk json,
               int64_t sent_ms)
{
  struct document_mail *mail
      = malloc (sizeof *mail + name.length + json.length);
  char *bytes;

  if (!mail)
    return;
  bytes = (char *)(mail + 1);
  memcpy (bytes, name.data, name.length);
  if (json.length > 0)
    memcpy (bytes + name.length, json.data, json.length);
  mail->name = (struct bd_chunk){ bytes, name.length };
  mail->json = (struct bd_chunk){ bytes + name.length, json.length };
  mail->sent_ms = sent_ms;
  bd_mailbox_post (e->documents, &mail->mail);
}

static void
watch_document (struct bd_watch_sink *sink, struct bd_chunk name,
                struct bd_chunk json)
{
  post_document (of_watch (sink), name, json, 0);
}

static void
watch_confirmed (struct bd_watch_sink *sink, struct bd_chunk name,
                 int64_t sent_ms)
{
  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    post_document (of_watch (sink), name, (struct bd_chunk){ NULL, 0 },
                   sent_ms);
}

static void
watch_reachable (struct bd_watch_sink *sink, bool up)
{
  bd_log (up ? BD_EVENT_PLATFORM_UP : BD_EVENT_PLATFORM_DOWN, "url=%s",
          of_watch (sink)->settings->platform_url);
}

void
bd_control_set_watch (struct bd_entry *e)
{
  e->watch_sink = (struct bd_watch_sink){
    .document = watch_document,
    .reachable = watch_reachable,
    .confirmed = watch_confirmed,
  };
}

/* The list lags, so it only takes runners and peers out. */
static void
take_instances (struct bd_entry *e, int64_t now_ms, struct bd_chunk json)
{
  json_t *root = json_loadb (json.data ? json.data : "", json.length, 0, NULL);
  json_t *list = json_object_get (root, "instances");
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *state = json_string_value (json_object_get (item, "state"));
    struct bd_chunk instance
        = bd_chunk_of (json_string_value (json_object_get (item, "instance")));

    if (!state || instance.length == 0)
      continue;
    bd_peers_listed (e->peers, now_ms, instance,
                     strcmp (state, "leaving") == 0);
    bd_dispatch_listed (e->dispatch, instance, strcmp (state, "leaving") == 0);
  }
  json_decref (root);
}

static void
count_missing (void *context, struct bd_chunk name)
{
  (void)name;
  ++*(size_t *)context;
}

/* What is in force is confirmed when the service gives the same manifest and
   every document that it names has come. */
static void
take_confirmation (struct bd_entry *e, int64_t sent_ms)
{
  struct bd_config *config = bd_document_exchange_config (e->exchange);
  struct bd_chunk manifest
      = bd_config_document (config, BD_CHUNK ("manifest"));
  size_t missing = 0;

  bd_config_missing (config, count_missing, &missing);
  if (missing == 0 && bd_chunk_hash (manifest) == e->service_manifest)
    bd_peers_confirm (e->peers, sent_ms);
}

static void
take_document (struct bd_entry *e, int64_t now_ms, struct bd_chunk name,
               struct bd_chunk json)
{
  struct bd_chunk service = { NULL, 0 };

  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    e->service_manifest = bd_chunk_hash (json);
  bd_document_exchange_document (e->exchange, now_ms, service, name, json);
}

void
bd_control_documents (struct bd_entry *e, int64_t now_ms)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->documents)))
    {
      struct document_mail *document = (struct document_mail *)mail;

      if (document->sent_ms != 0)
        take_confirmation (e, document->sent_ms);
      else if (bd_chunk_equal (document->name, BD_CHUNK ("instances")))
        take_instances (e, now_ms, document->json);
      else
        take_document (e, now_ms, document->name, document->json);
      free (document);
    }
}

void
bd_control_drop_documents (struct bd_entry *e)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->documents)))
    free (mail);
}

/* Before the first publication every document that the manifest names is
   waited for: a caller whose contract has not come yet would be told that its
   credential is unknown. */
static bool
is_complete (struct bd_entry *e, int64_t now_ms)
{
  size_t missing = 0;

  if (e->published)
    return true;
  if (e->first_change_ms == 0)
    e->first_change_ms = now_ms;
  bd_config_missing (bd_document_exchange_config (e->exchange), count_missing,
                     &missing);
  return missing == 0 || now_ms - e->first_change_ms >= FIRST_DOCUMENTS_MS;
}

void
bd_control_publish (struct bd_entry *e, int64_t now_ms)
{
  struct bd_config *config = bd_document_exchange_config (e->exchange);
  struct bd_config_snapshot *snapshot;

  if (!is_complete (e, now_ms))
    return;
  e->published = true;
  e->changed = false;
  snapshot = bd_config_snapshot (config);
  if (!snapshot)
    return;
  bd_dispatch_configure (e->dispatch, now_ms, snapshot);
  bd_peers_configure (e->peers, now_ms, snapshot);
  bd_view_publish (e->view, snapshot);
  bd_state_set_ready (e->state, true);
  bd_control_heartbeat_all (e);
  bd_peers_announce (e->peers, now_ms);
}
