/* Documents of the configuration service, from the watch thread to the
   active configuration. */

#include "common/log.h"
#include "entry/control.h"

#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Longest wait for missing documents before the first publication. */
#define FIRST_DOCUMENTS_TIMEOUT_MS 10000

/* A message from the watch thread to the control thread: a document of the
   configuration service, or a confirmation of one. */
struct document_mail
{
  struct bd_mail mail;
  struct bd_chunk name;
  struct bd_chunk json;
  int64_t sent_ms; /* Time of the confirming read, or 0 for a document. */
};

static struct bd_entry *
entry_of_watch_sink (struct bd_watch_sink *sink)
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
  bd_mailbox_post (e->document_mailbox, &mail->mail);
}

static void
watch_document (struct bd_watch_sink *sink, struct bd_chunk name,
                struct bd_chunk json)
{
  post_document (entry_of_watch_sink (sink), name, json, 0);
}

static void
watch_confirmed (struct bd_watch_sink *sink, struct bd_chunk name,
                 int64_t sent_ms)
{
  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    post_document (entry_of_watch_sink (sink), name,
                   (struct bd_chunk){ NULL, 0 }, sent_ms);
}

static void
watch_reachable (struct bd_watch_sink *sink, bool up)
{
  bd_log (up ? BD_EVENT_PLATFORM_UP : BD_EVENT_PLATFORM_DOWN, "url=%s",
          entry_of_watch_sink (sink)->settings->platform_url);
}

void
bd_control_set_watch_sink (struct bd_entry *e)
{
  e->watch_sink = (struct bd_watch_sink){
    .document = watch_document,
    .reachable = watch_reachable,
    .confirmed = watch_confirmed,
  };
}

/* Applies the instance list.  It lags, so it only takes runners and peers
   out of use and never adds them. */
static void
apply_instance_list (struct bd_entry *e, int64_t now_ms, struct bd_chunk json)
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
    bd_peers_update_listed (e->peers, now_ms, instance,
                            strcmp (state, "leaving") == 0);
    bd_dispatch_set_leaving (e->dispatch, instance,
                             strcmp (state, "leaving") == 0);
  }
  json_decref (root);
}

static void
count_missing (void *context, struct bd_chunk name)
{
  (void)name;
  ++*(size_t *)context;
}

/* Confirms the active configuration if the service still gives the same
   manifest and every document that it names has arrived. */
static void
handle_confirmation (struct bd_entry *e, int64_t sent_ms)
{
  struct bd_config *config = bd_document_exchange_config (e->exchange);
  struct bd_chunk manifest
      = bd_config_document (config, BD_CHUNK ("manifest"));
  size_t missing = 0;

  bd_config_visit_outdated (config, count_missing, &missing);
  if (missing == 0 && bd_chunk_hash (manifest) == e->service_manifest_hash)
    bd_peers_record_confirmation (e->peers, sent_ms);
}

static void
submit_document (struct bd_entry *e, int64_t now_ms, struct bd_chunk name,
                 struct bd_chunk json)
{
  struct bd_chunk service = { NULL, 0 };

  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    e->service_manifest_hash = bd_chunk_hash (json);
  bd_document_exchange_handle_document (e->exchange, now_ms, service, name,
                                        json);
}

void
bd_control_read_documents (struct bd_entry *e, int64_t now_ms)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->document_mailbox)))
    {
      struct document_mail *document = (struct document_mail *)mail;

      if (document->sent_ms != 0)
        handle_confirmation (e, document->sent_ms);
      else if (bd_chunk_equal (document->name, BD_CHUNK ("instances")))
        apply_instance_list (e, now_ms, document->json);
      else
        submit_document (e, now_ms, document->name, document->json);
      free (document);
    }
}

void
bd_control_free_documents (struct bd_entry *e)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->document_mailbox)))
    free (mail);
}

/* True when the configuration may be published.  The first publication waits
   for every document that the manifest names, up to a time limit: a caller
   whose contract is still missing would be told that its credential is
   unknown. */
static bool
may_publish (struct bd_entry *e, int64_t now_ms)
{
  size_t missing = 0;

  if (e->config_published)
    return true;
  if (e->first_change_ms == 0)
    e->first_change_ms = now_ms;
  bd_config_visit_outdated (bd_document_exchange_config (e->exchange),
                            count_missing, &missing);
  return missing == 0
         || now_ms - e->first_change_ms >= FIRST_DOCUMENTS_TIMEOUT_MS;
}

void
bd_control_publish (struct bd_entry *e, int64_t now_ms)
{
  struct bd_config *config = bd_document_exchange_config (e->exchange);
  struct bd_config_snapshot *snapshot;

  if (!may_publish (e, now_ms))
    return;
  snapshot = bd_config_snapshot (config);
  if (!snapshot)
    return; /* The next turn tries again. */
  e->config_changed
      = bd_dispatch_configure (e->dispatch, now_ms, snapshot) != BD_OK;
  e->config_published = true;
  bd_peers_configure (e->peers, now_ms, snapshot);
  bd_config_view_publish (e->view, snapshot);
  bd_admin_state_set_ready (e->state, true);
  bd_control_send_all_heartbeats (e);
  bd_peers_announce (e->peers, now_ms);
}
