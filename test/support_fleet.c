#include "support_fleet.h"
#include "common/string.h"

#include <jansson.h>
#include <string.h>

#define TICK_MS 10
#define HEARTBEAT_MS 500
#define ENGINE_DOWN_MS 1500
#define DEADLINE_MS 10000
#define WALL_START_MS 1700000000000LL
#define START_MS 100000

struct entry
{
  struct bd_dispatch_callbacks callbacks; /* Must stay the first member. */
  struct fleet *fleet;
  int index;
  char name[16];
  struct bd_dispatch *dispatch;
  gint64 paused_until_ms;
};

struct runner
{
  struct bd_runner_callbacks callbacks; /* Must stay the first member. */
  struct fleet *fleet;
  int index;
  char name[16];
  struct bd_runner *runner;
  guint64 incarnation;
  gint64 paused_until_ms;
  gint64 engine_up_ms;
  gint64 stalled_until_ms;
  GPtrArray *jobs; /* struct engine_job */
};

/* A request at an engine. */
struct engine_job
{
  struct fleet_run *run;
  struct bd_id request;
  guint32 attempt;
  guint64 content;
  guint words;
  guint next;
  gint64 due_ms;
  gboolean head;
};

enum event_kind
{
  EVENT_TO_RUNNER,
  EVENT_TO_ENTRY,
  EVENT_CONNECTION
};

struct event
{
  enum event_kind kind;
  gint64 due_ms;
  guint64 sequence;
  int entry;
  int runner;
  gboolean up;
  struct bd_buffer frame;
};

struct fleet
{
  struct fleet_settings settings;
  gint64 now_ms;
  GRand *rand;
  GSequence *events;
  guint64 next_sequence;
  struct entry entries[FLEET_ENTRIES_MAX];
  struct runner runners[FLEET_RUNNERS_MAX];
  gboolean link_cut[FLEET_ENTRIES_MAX][FLEET_RUNNERS_MAX];
  GPtrArray *calls;
  GPtrArray *runs;
  guint64 poison_content;
  gboolean gossip;
  int engine_crashes;
  guint64 last_incarnation;
  guint64 last_id;
  GHashTable *key_dates; /* Creation time by key number. */
};

static gint
event_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
event_free (gpointer data)
{
  struct event *e = data;

  bd_buffer_clear (&e->frame);
  g_free (e);
}

static void
schedule (struct fleet *f, enum event_kind kind, int entry, int runner,
          const struct bd_message *message, gint64 delay_ms)
{
  struct event *e = g_new0 (struct event, 1);

  e->kind = kind;
  e->due_ms = f->now_ms + delay_ms;
  e->sequence = f->next_sequence++;
  e->entry = entry;
  e->runner = runner;
  if (message)
    bd_message_encode (message, &e->frame);
  g_sequence_insert_sorted (f->events, e, event_order, NULL);
}

static void
transmit (struct fleet *f, enum event_kind kind, int entry, int runner,
          const struct bd_message *message)
{
  int copies = 1;

  if (f->link_cut[entry][runner])
    return;
  if (g_rand_int_range (f->rand, 0, 1000) < f->settings.drop_permille)
    return;
  if (g_rand_int_range (f->rand, 0, 1000) < f->settings.duplicate_permille)
    copies = 2;
  while (copies-- > 0)
    schedule (f, kind, entry, runner, message,
              g_rand_int_range (f->rand, 1, f->settings.delay_max_ms + 1));
}

static int
runner_index (struct fleet *f, struct bd_chunk name)
{
  for (int i = 0; i < f->settings.runners; i++)
    if (bd_chunk_equal (bd_chunk_of (f->runners[i].name), name))
      return i;
  return -1;
}

static int
entry_send (struct bd_dispatch_callbacks *self, struct bd_chunk runner,
            const struct bd_message *message)
{
  struct entry *e = (struct entry *)self;
  int index = runner_index (e->fleet, runner);

  if (index < 0)
    return BD_ERR_NOT_FOUND;
  transmit (e->fleet, EVENT_TO_RUNNER, e->index, index, message);
  return BD_OK;
}

static struct fleet_call *
find_call (struct fleet *f, struct bd_id id)
{
  for (guint i = 0; i < f->calls->len; i++)
    {
      struct fleet_call *call = f->calls->pdata[i];

      if (bd_id_equal (call->id, id))
        return call;
    }
  return NULL;
}

static void
append_data (struct fleet_call *call, gint64 now_ms, struct bd_chunk data)
{
  if (call->first_data_ms == 0)
    call->first_data_ms = now_ms;
  g_string_append_len (call->text, data.data, (gssize)data.length);
}

static void
entry_deliver (struct bd_dispatch_callbacks *self, struct bd_id request,
               const struct bd_delivery *d)
{
  struct entry *e = (struct entry *)self;
  struct fleet_call *call = find_call (e->fleet, request);

  g_assert_nonnull (call);
  /* No delivery follows END or FAIL. */
  g_assert_false (call->complete || call->failed);
  switch (d->kind)
    {
    case BD_DELIVERY_HEAD:
      g_assert_false (call->head_received);
      call->head_received = TRUE;
      break;
    case BD_DELIVERY_DATA:
      append_data (call, e->fleet->now_ms, d->data);
      break;
    case BD_DELIVERY_END:
      call->complete = TRUE;
      call->replay = d->replay;
      call->ended_ms = e->fleet->now_ms;
      break;
    case BD_DELIVERY_FAIL:
      call->failed = TRUE;
      call->error = d->error;
      call->ran = d->ran;
      call->ended_ms = e->fleet->now_ms;
      break;
    }
}

static void
entry_log (struct bd_dispatch_callbacks *self, enum bd_event event,
           struct bd_id request, uint32_t attempt, const char *detail)
{
  (void)self;
  (void)event;
  (void)request;
  (void)attempt;
  (void)detail;
}

static void
entry_count (struct bd_dispatch_callbacks *self, enum bd_dispatch_count what)
{
  (void)self;
  (void)what;
}

static void
entry_connect (struct bd_dispatch_callbacks *self, struct bd_chunk instance,
               struct bd_chunk address)
{
  (void)self;
  (void)instance;
  (void)address;
}

static void
entry_close (struct bd_dispatch_callbacks *self, struct bd_chunk instance)
{
  (void)self;
  (void)instance;
}

static void
runner_send (struct bd_runner_callbacks *self, struct bd_chunk entry,
             const struct bd_message *message)
{
  struct runner *r = (struct runner *)self;

  for (int i = 0; i < r->fleet->settings.entries; i++)
    if (bd_chunk_equal (bd_chunk_of (r->fleet->entries[i].name), entry))
      transmit (r->fleet, EVENT_TO_ENTRY, i, r->index, message);
}

static guint
word_count (guint64 content)
{
  return 3 + (guint)(content % 17);
}

static void
append_event (GString *text, guint64 content, guint index)
{
  g_string_append_printf (text,
                          "data: {\"choices\":[{\"text\":\"%u-%u \"}]}\n\n",
                          (guint)(content % 1000), index);
}

char *
fleet_answer (guint64 content)
{
  GString *text = g_string_new ("");

  for (guint i = 0; i < word_count (content); i++)
    append_event (text, content, i);
  g_string_append (text, "data: [DONE]\n\n");
  return g_string_free (text, FALSE);
}

/* Number of words that an earlier attempt has already written. */
static guint
words_already_written (json_t *root)
{
  const char *text
      = json_string_value (json_object_get (root, "continue_from"));
  guint words = 0;

  for (; text && *text; text++)
    words += *text == ' ';
  return words;
}

static void
runner_start (struct bd_runner_callbacks *self,
              const struct bd_runner_call *call)
{
  struct runner *r = (struct runner *)self;
  struct fleet *f = r->fleet;
  struct engine_job *job = g_new0 (struct engine_job, 1);
  json_t *root = json_loadb (call->body.data, call->body.length, 0, NULL);

  job->request = call->request;
  job->attempt = call->attempt;
  job->content
      = (guint64)json_integer_value (json_object_get (root, "content"));
  job->words = word_count (job->content);
  job->next = words_already_written (root);
  job->due_ms = f->now_ms + f->settings.token_ms;
  json_decref (root);
  /* An engine that is down refuses the connection. */
  if (f->now_ms >= r->engine_up_ms)
    {
      job->run = g_new0 (struct fleet_run, 1);
      job->run->request = call->request;
      job->run->runner = r->index;
      if (call->key_text.length > 0)
        job->run->key = (struct bd_id){ bd_chunk_hash (call->key_text), 1 };
      g_ptr_array_add (f->runs, job->run);
    }
  g_ptr_array_add (r->jobs, job);
}

static void
runner_cancel (struct bd_runner_callbacks *self, struct bd_id request,
               uint32_t attempt)
{
  struct runner *r = (struct runner *)self;

  for (guint i = 0; i < r->jobs->len; i++)
    {
      struct engine_job *job = r->jobs->pdata[i];

      /* The job ends at the engine's next step. */
      if (bd_id_equal (job->request, request) && job->attempt == attempt)
        job->words = 0;
    }
}

static void
runner_bill (struct bd_runner_callbacks *self,
             const struct bd_billing_record *bill)
{
  struct runner *r = (struct runner *)self;
  struct fleet_call *call = find_call (r->fleet, bill->request);

  g_assert_nonnull (call);
  call->billed++;
}

static void
runner_log (struct bd_runner_callbacks *self, enum bd_event event,
            struct bd_id request, uint32_t attempt, const char *detail)
{
  (void)self;
  (void)event;
  (void)request;
  (void)attempt;
  (void)detail;
}

static bool
runner_is_home (struct bd_runner_callbacks *self, struct bd_id key)
{
  (void)self;
  (void)key;
  return true;
}

static void
runner_wait (struct bd_runner_callbacks *self, struct bd_chunk workspace,
             struct bd_chunk class_name, int64_t wait_ms)
{
  (void)self;
  (void)workspace;
  (void)class_name;
  (void)wait_ms;
}

static void
start_process (struct fleet *f, struct runner *r)
{
  struct bd_runner_settings s = {
    .slots = (uint32_t)f->settings.slots,
    .queue = { .max_items = 1000,
               .max_bytes = 1 << 24,
               .low_tier_share_permille = 50 },
    .idempotency_settings = { .clock_skew_ms = 10,
                              .max_records = 1000,
                              .max_answer_bytes = 1 << 20 },
    .answer_max_bytes = 1 << 16,
  };

  r->incarnation = ++f->last_incarnation;
  s.incarnation = r->incarnation;
  s.idempotency_settings.incarnation = r->incarnation;
  s.idempotency_settings.started_wall_ms = WALL_START_MS + f->now_ms;
  r->runner = bd_runner_create (&s, &r->callbacks);
}

static void
make_runner (struct fleet *f, int index)
{
  struct runner *r = &f->runners[index];

  r->callbacks = (struct bd_runner_callbacks){ runner_send,   runner_start,
                                               runner_cancel, runner_bill,
                                               runner_log,    runner_is_home,
                                               runner_wait };
  r->fleet = f;
  r->index = index;
  r->jobs = g_ptr_array_new_with_free_func (g_free);
  g_snprintf (r->name, sizeof r->name, "runner-%d", index);
  start_process (f, r);
}

static struct bd_config_snapshot *
make_snapshot (const struct fleet_settings *s)
{
  static const char manifest[]
      = "{\"revision\":1,\"contracts\":{\"w\":1},\"pools\":{\"m\":1},"
        "\"entries\":[]}";
  static const char contract[]
      = "{\"workspace\":\"w\",\"revision\":1,\"default_class\":\"a\","
        "\"retry_window_s\":600,\"credentials\":[],"
        "\"limits\":{\"requests_per_s\":100000,\"tokens_per_s\":100000000,"
        "\"concurrency\":100000},\"classes\":{\"a\":{\"tier\":0,"
        "\"first_token_ms\":1300,\"token_gap_ms\":30,\"deadline_ms\":10000,"
        "\"idempotent\":true,\"pool\":\"m\",\"min_share_permille\":0,"
        "\"max_output_tokens\":100}}}";
  struct bd_config *config = bd_config_create ();
  struct bd_config_snapshot *snapshot;
  GString *pool = g_string_new (
      "{\"pool\":\"m\",\"revision\":1,\"kind\":\"model\",\"runners\":[");
  char reason[256] = "";

  for (int i = 0; i < s->runners; i++)
    g_string_append_printf (pool,
                            "%s{\"instance\":\"runner-%d\",\"address\":"
                            "\"127.0.0.1:%d\",\"zone\":\"z\"}",
                            i ? "," : "", i, 1000 + i);
  g_string_append (pool, "]}");
  bd_config_submit (config, BD_CHUNK ("manifest"), bd_chunk_of (manifest),
                    reason, sizeof reason);
  bd_config_submit (config, BD_CHUNK ("contract/w"), bd_chunk_of (contract),
                    reason, sizeof reason);
  bd_config_submit (config, BD_CHUNK ("pool/m"), bd_chunk_of (pool->str),
                    reason, sizeof reason);
  g_assert_cmpstr (reason, ==, "");
  snapshot = bd_config_snapshot (config);
  g_assert_cmpuint (snapshot->pool_count, ==, 1);
  bd_config_destroy (config);
  g_string_free (pool, TRUE);
  return snapshot;
}

static void
make_entry (struct fleet *f, int index,
            const struct bd_config_snapshot *snapshot)
{
  struct entry *e = &f->entries[index];
  struct bd_dispatch_settings s = { .zone = BD_CHUNK ("z"),
                                    .policy = f->settings.policy,
                                    .subset_size = 100,
                                    .seed = f->settings.seed };

  e->callbacks = (struct bd_dispatch_callbacks){ entry_send,    entry_deliver,
                                                 entry_log,     entry_count,
                                                 entry_connect, entry_close };
  e->fleet = f;
  e->index = index;
  g_snprintf (e->name, sizeof e->name, "entry-%d", index);
  s.instance = bd_chunk_of (e->name);
  e->dispatch = bd_dispatch_create (&s, &e->callbacks);
  g_assert_cmpint (bd_dispatch_configure (e->dispatch, f->now_ms, snapshot),
                   ==, BD_OK);
  bd_limiter_set_entry_count (bd_dispatch_limiter (e->dispatch), f->now_ms, 1);
}

static void
call_free (gpointer data)
{
  struct fleet_call *call = data;

  g_string_free (call->text, TRUE);
  g_free (call);
}

struct fleet *
fleet_new (const struct fleet_settings *settings)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  struct bd_config_snapshot *snapshot = make_snapshot (settings);

  f->settings = *settings;
  /* Above zero, so that a process can have started earlier. */
  f->now_ms = START_MS;
  f->rand = g_rand_new_with_seed (settings->seed);
  f->events = g_sequence_new (event_free);
  f->key_dates = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  f->calls = g_ptr_array_new_with_free_func (call_free);
  f->runs = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < settings->runners; i++)
    make_runner (f, i);
  for (int i = 0; i < settings->entries; i++)
    make_entry (f, i, snapshot);
  bd_config_snapshot_release (snapshot);
  fleet_run (f, HEARTBEAT_MS + TICK_MS);
  return f;
}

void
fleet_free (struct fleet *f)
{
  for (int i = 0; i < f->settings.entries; i++)
    bd_dispatch_destroy (f->entries[i].dispatch);
  for (int i = 0; i < f->settings.runners; i++)
    {
      bd_runner_destroy (f->runners[i].runner);
      g_ptr_array_free (f->runners[i].jobs, TRUE);
    }
  g_sequence_free (f->events);
  g_hash_table_destroy (f->key_dates);
  g_ptr_array_free (f->calls, TRUE);
  g_ptr_array_free (f->runs, TRUE);
  g_rand_free (f->rand);
  g_free (f);
}

gint64
fleet_now (const struct fleet *f)
{
  return f->now_ms;
}

static gboolean
dispatch_event (struct fleet *f, struct event *e)
{
  struct entry *entry = &f->entries[e->entry];
  struct runner *runner = &f->runners[e->runner];
  struct bd_message m;

  if (e->kind == EVENT_TO_RUNNER)
    {
      if (f->now_ms < runner->paused_until_ms)
        return FALSE;
      if (runner->runner
          && bd_message_decode (bd_buffer_chunk (&e->frame), &m) == BD_OK)
        bd_runner_handle_message (runner->runner, f->now_ms,
                                  WALL_START_MS + f->now_ms,
                                  bd_chunk_of (entry->name), &m);
      return TRUE;
    }
  if (!entry->dispatch)
    return TRUE;
  if (f->now_ms < entry->paused_until_ms)
    return FALSE;
  if (e->kind == EVENT_CONNECTION)
    bd_dispatch_set_connected (entry->dispatch, f->now_ms,
                               bd_chunk_of (runner->name), e->up);
  else if (bd_message_decode (bd_buffer_chunk (&e->frame), &m) == BD_OK)
    bd_dispatch_handle_message (entry->dispatch, f->now_ms,
                                bd_chunk_of (runner->name), &m);
  return TRUE;
}

/* Dispatches due events.  Those of a paused process wait, in order. */
static void
run_events (struct fleet *f)
{
  GSequenceIter *at = g_sequence_get_begin_iter (f->events);

  while (!g_sequence_iter_is_end (at))
    {
      struct event *e = g_sequence_get (at);
      GSequenceIter *next;

      if (e->due_ms > f->now_ms)
        return;
      if (dispatch_event (f, e))
        {
          /* The handler may have inserted an event right after this one. */
          next = g_sequence_iter_next (at);
          g_sequence_remove (at);
        }
      else
        next = g_sequence_iter_next (at);
      at = next;
    }
}

/* Writes one token, or the end; true when the job is done. */
static gboolean
step_job (struct fleet *f, struct runner *r, struct engine_job *job)
{
  GString *text = g_string_new ("");
  gboolean over = job->next >= job->words;

  if (!job->head)
    bd_runner_engine_head (r->runner, f->now_ms, job->request, job->attempt,
                           200, BD_CHUNK ("text/event-stream"));
  job->head = TRUE;
  if (over)
    g_string_append (text, "data: [DONE]\n\n");
  else
    append_event (text, job->content, job->next++);
  bd_runner_engine_data (r->runner, f->now_ms, job->request, job->attempt,
                         (struct bd_chunk){ text->str, text->len });
  job->due_ms = f->now_ms + f->settings.token_ms;
  if (over)
    {
      job->run->ended = TRUE;
      bd_runner_engine_end (r->runner, f->now_ms, job->request, job->attempt);
    }
  g_string_free (text, TRUE);
  return over;
}

static void
fail_job (struct fleet *f, struct runner *r, const struct engine_job *job,
          int error, gboolean sent)
{
  if (r->runner)
    bd_runner_engine_failed (r->runner, f->now_ms, job->request, job->attempt,
                             error, sent);
}

static gboolean
run_job (struct fleet *f, struct runner *r, struct engine_job *job)
{
  if (!job->run || job->words == 0)
    {
      fail_job (f, r, job, job->run ? BD_ERR_CANCELLED : BD_ERR_ENGINE,
                job->run != NULL);
      return TRUE;
    }
  if (f->poison_content != 0 && job->content == f->poison_content)
    {
      fleet_crash_engine (f, r->index);
      return FALSE;
    }
  return step_job (f, r, job);
}

static void
run_engine (struct fleet *f, struct runner *r)
{
  if (f->now_ms < r->stalled_until_ms || f->now_ms < r->paused_until_ms
      || !r->runner)
    return;
  for (guint i = 0; i < r->jobs->len;)
    {
      struct engine_job *job = r->jobs->pdata[i];
      guint before = r->jobs->len;

      if (job->due_ms <= f->now_ms && run_job (f, r, job))
        g_ptr_array_remove_fast (r->jobs, job);
      else if (r->jobs->len == before)
        i++;
    }
  if (!bd_runner_engine_up (r->runner) && f->now_ms >= r->engine_up_ms)
    bd_runner_set_engine (r->runner, f->now_ms, true);
}

static void
send_heartbeats (struct fleet *f)
{
  for (int r = 0; r < f->settings.runners; r++)
    {
      struct bd_message m = { .type = BD_MESSAGE_HEARTBEAT };

      if (!f->runners[r].runner || f->now_ms < f->runners[r].paused_until_ms)
        continue;
      bd_runner_fill_load (f->runners[r].runner, &m);
      for (int e = 0; e < f->settings.entries; e++)
        transmit (f, EVENT_TO_ENTRY, e, r, &m);
    }
}

static void
gossip_strikes (struct fleet *f)
{
  struct bd_strike strikes[16];

  for (int a = 0; f->gossip && a < f->settings.entries; a++)
    {
      size_t count;

      if (!f->entries[a].dispatch)
        continue;
      count = bd_suspects_next_gossip (
          bd_dispatch_suspects (f->entries[a].dispatch), f->now_ms, strikes,
          16);
      for (int b = 0; b < f->settings.entries; b++)
        for (size_t i = 0; b != a && f->entries[b].dispatch && i < count; i++)
          bd_suspects_record (bd_dispatch_suspects (f->entries[b].dispatch),
                              f->now_ms, &strikes[i]);
    }
}

/* Confirms the delivery of complete answers. */
static void
confirm (struct fleet *f)
{
  for (guint i = 0; i < f->calls->len; i++)
    {
      struct fleet_call *call = f->calls->pdata[i];

      if (call->complete && !call->abandoned
          && f->now_ms >= f->entries[call->entry].paused_until_ms)
        bd_dispatch_confirm_delivery (f->entries[call->entry].dispatch,
                                      f->now_ms, call->id);
    }
}

static void
tick (struct fleet *f)
{
  for (int i = 0; i < f->settings.entries; i++)
    if (f->entries[i].dispatch && f->now_ms >= f->entries[i].paused_until_ms)
      bd_dispatch_tick (f->entries[i].dispatch, f->now_ms);
  for (int i = 0; i < f->settings.runners; i++)
    if (f->runners[i].runner && f->now_ms >= f->runners[i].paused_until_ms)
      bd_runner_tick (f->runners[i].runner, f->now_ms,
                      WALL_START_MS + f->now_ms);
  confirm (f);
  gossip_strikes (f);
}

void
fleet_run (struct fleet *f, gint64 ms)
{
  gint64 end_ms = f->now_ms + ms;

  while (f->now_ms < end_ms)
    {
      f->now_ms++;
      run_events (f);
      for (int i = 0; i < f->settings.runners; i++)
        run_engine (f, &f->runners[i]);
      if (f->now_ms % HEARTBEAT_MS == 0)
        send_heartbeats (f);
      if (f->now_ms % TICK_MS == 0)
        tick (f);
    }
}

/* Returns the creation time of a key, which is that of its first use. */
static gint64
key_date (struct fleet *f, int key_number)
{
  gpointer key = GINT_TO_POINTER (key_number);
  gint64 *date = g_hash_table_lookup (f->key_dates, key);

  if (!date)
    {
      date = g_new (gint64, 1);
      *date = WALL_START_MS + f->now_ms;
      g_hash_table_insert (f->key_dates, key, date);
    }
  return *date;
}

static struct fleet_call *
submit (struct fleet *f, int entry, guint64 content, int tier, int key_number)
{
  struct fleet_call *call = g_new0 (struct fleet_call, 1);
  char body[96];
  char key[32];
  struct bd_dispatch_request r = {
    .flags = BD_FLAG_STREAM,
    .workspace = BD_CHUNK ("w"),
    .class_name = BD_CHUNK ("a"),
    .pool = BD_CHUNK ("m"),
    .tier = (uint8_t)tier,
    .deadline_ms = DEADLINE_MS,
    .first_token_ms = 1300,
    .fingerprint = content + 1,
    .method = BD_CHUNK ("POST"),
    .path = BD_CHUNK ("/v1/completions"),
    .content_type = BD_CHUNK ("application/json"),
    .retry_window_ms = 600000,
  };

  g_snprintf (body, sizeof body, "{\"content\":%" G_GUINT64_FORMAT "}",
              content);
  call->id = (struct bd_id){ 7, ++f->last_id };
  call->entry = entry;
  call->content = content;
  call->text = g_string_new ("");
  call->submitted_ms = f->now_ms;
  r.request = call->id;
  r.body = bd_chunk_of (body);
  if (key_number > 0)
    {
      g_snprintf (key, sizeof key, "order-%d", key_number);
      call->keyed = TRUE;
      call->key_number = key_number;
      r.key_text = bd_chunk_of (key);
      r.key = (struct bd_id){ bd_chunk_hash (r.key_text), 1 };
      r.key_origin = BD_KEY_TIME_ORDERED;
      r.key_wall_ms = key_date (f, key_number);
    }
  else
    r.flags |= BD_FLAG_IDEMPOTENT;
  g_ptr_array_add (f->calls, call);
  bd_dispatch_submit (f->entries[entry].dispatch, f->now_ms, &r);
  return call;
}

struct fleet_call *
fleet_submit (struct fleet *f, int entry, guint64 content, int tier)
{
  return submit (f, entry, content, tier, 0);
}

struct fleet_call *
fleet_submit_keyed (struct fleet *f, int entry, guint64 content,
                    int key_number)
{
  return submit (f, entry, content, 1, key_number);
}

void
fleet_cancel (struct fleet *f, struct fleet_call *call)
{
  call->abandoned = TRUE;
  bd_dispatch_cancel (f->entries[call->entry].dispatch, f->now_ms, call->id);
}

static void
schedule_connection_events (struct fleet *f, int runner, gboolean up)
{
  for (int e = 0; e < f->settings.entries; e++)
    {
      struct event *event;

      if (f->link_cut[e][runner])
        continue;
      event = g_new0 (struct event, 1);
      event->kind = EVENT_CONNECTION;
      event->due_ms = f->now_ms + 1;
      event->sequence = f->next_sequence++;
      event->entry = e;
      event->runner = runner;
      event->up = up;
      g_sequence_insert_sorted (f->events, event, event_order, NULL);
    }
}

void
fleet_crash_runner (struct fleet *f, int runner)
{
  struct runner *r = &f->runners[runner];

  if (!r->runner)
    return;
  bd_runner_destroy (r->runner);
  r->runner = NULL;
  /* The engine stops the requests of a client that disconnects. */
  g_ptr_array_set_size (r->jobs, 0);
  schedule_connection_events (f, runner, FALSE);
}

void
fleet_crash_entry (struct fleet *f, int entry)
{
  struct entry *e = &f->entries[entry];

  for (guint i = 0; i < f->calls->len; i++)
    {
      struct fleet_call *call = f->calls->pdata[i];

      if (call->entry == entry)
        call->abandoned = TRUE;
    }
  bd_dispatch_destroy (e->dispatch);
  e->dispatch = NULL;
}

gboolean
fleet_entry_alive (const struct fleet *f, int entry)
{
  return f->entries[entry].dispatch != NULL;
}

void
fleet_restart_runner (struct fleet *f, int runner)
{
  fleet_crash_runner (f, runner);
  start_process (f, &f->runners[runner]);
  schedule_connection_events (f, runner, TRUE);
}

void
fleet_pause_runner (struct fleet *f, int runner, gint64 ms)
{
  f->runners[runner].paused_until_ms = f->now_ms + ms;
}

void
fleet_pause_entry (struct fleet *f, int entry, gint64 ms)
{
  f->entries[entry].paused_until_ms = f->now_ms + ms;
}

void
fleet_crash_engine (struct fleet *f, int runner)
{
  struct runner *r = &f->runners[runner];
  GPtrArray *jobs = r->jobs;

  f->engine_crashes++;
  r->engine_up_ms = f->now_ms + ENGINE_DOWN_MS;
  r->jobs = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct engine_job *job = jobs->pdata[i];

      fail_job (f, r, job, job->run ? BD_ERR_INCOMPLETE : BD_ERR_ENGINE,
                job->run != NULL);
    }
  g_ptr_array_free (jobs, TRUE);
}

void
fleet_stall_engine (struct fleet *f, int runner, gint64 ms)
{
  f->runners[runner].stalled_until_ms = f->now_ms + ms;
}

void
fleet_set_link_cut (struct fleet *f, int entry, int runner, gboolean cut)
{
  f->link_cut[entry][runner] = cut;
}

void
fleet_leave_runner (struct fleet *f, int runner)
{
  bd_runner_start_leaving (f->runners[runner].runner, f->now_ms);
}

void
fleet_set_poison (struct fleet *f, guint64 content)
{
  f->poison_content = content;
}

void
fleet_enable_gossip (struct fleet *f)
{
  f->gossip = TRUE;
}

void
fleet_limit_entry (struct fleet *f, int entry)
{
  struct bd_limits limits = { .requests_per_s = 1 };

  bd_limiter_set (bd_dispatch_limiter (f->entries[entry].dispatch), f->now_ms,
                  bd_chunk_hash (BD_CHUNK ("w")), &limits);
}

GPtrArray *
fleet_calls (struct fleet *f)
{
  return f->calls;
}

GPtrArray *
fleet_runs (struct fleet *f)
{
  return f->runs;
}

int
fleet_engine_crashes (const struct fleet *f)
{
  return f->engine_crashes;
}

struct bd_runner *
fleet_runner (struct fleet *f, int runner)
{
  return f->runners[runner].runner;
}

static int
runs_of (struct fleet *f, struct bd_id request, struct bd_id key)
{
  int count = 0;

  for (guint i = 0; i < f->runs->len; i++)
    {
      const struct fleet_run *run = f->runs->pdata[i];

      if (key.high != 0 ? bd_id_equal (run->key, key)
                        : bd_id_equal (run->request, request))
        count++;
    }
  return count;
}

static struct bd_id
key_of (const struct fleet_call *call)
{
  char key[32];

  if (!call->keyed)
    return (struct bd_id){ 0, 0 };
  g_snprintf (key, sizeof key, "order-%d", call->key_number);
  return (struct bd_id){ bd_chunk_hash (bd_chunk_of (key)), 1 };
}

#define REPORT_VIOLATION(call, what)                                          \
  g_error ("%s: seed %u: call %u (key %d): %s", title, f->settings.seed,      \
           (guint)(call)->id.low, (call)->key_number, what)

static void
check_call (struct fleet *f, const struct fleet_call *call, const char *title)
{
  int runs = runs_of (f, call->id, key_of (call));
  char *answer = fleet_answer (call->content);

  if (!call->complete && !call->failed && !call->abandoned)
    REPORT_VIOLATION (call, "no final answer");
  if (call->keyed && runs > 1)
    REPORT_VIOLATION (call, "the key ran twice");
  if (call->failed && call->ran == BD_RAN_NO && runs > 0)
    REPORT_VIOLATION (call, "told that it did not run, but it ran");
  if (call->complete && strcmp (call->text->str, answer) != 0)
    REPORT_VIOLATION (call, "the complete answer is wrong");
  if (call->failed && strstr (call->text->str, "[DONE]"))
    REPORT_VIOLATION (call, "a failed answer looks complete");
  if (call->billed > 1)
    REPORT_VIOLATION (call, "billed twice");
  if (call->billed > 0 && !call->complete)
    REPORT_VIOLATION (call, "billed, but not delivered completely");
  g_free (answer);
}

void
fleet_check (struct fleet *f, const char *title)
{
  for (guint i = 0; i < f->calls->len; i++)
    {
      const struct fleet_call *call = f->calls->pdata[i];
      int billed = 0;

      check_call (f, call, title);
      for (guint j = 0; call->keyed && j < f->calls->len; j++)
        {
          const struct fleet_call *other = f->calls->pdata[j];

          if (other->key_number == call->key_number)
            billed += other->billed;
        }
      if (billed > 1)
        REPORT_VIOLATION (call, "two answers of one key were billed");
    }
}
