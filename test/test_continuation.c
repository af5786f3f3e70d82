/* Streams go on only at runners of the software version that began them:
   within one response, and when the caller continues one with a new attempt.
 */
#include "balance/pause.h"
#include "balance/runner_limit.h"
#include "common/clock.h"
#include "support_gateway.h"
#include "support_responses.h"

#include <malloc.h>

#define LIST(ids)                                                             \
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"                     \
  "Content-Length: 100\r\n\r\n" ids
/* Lists of 100 bytes: a runner that holds the part "c3", and one that does
 * not.
 */
#define HOLDS_C3                                                              \
  LIST ("{\"epoch\":1,\"next\":9,\"held\":[[\"\",\"b2\",400,\"m\"],"          \
        "[\"\",\"c3\",200,\"m\"]]}                                   ")
#define HOLDS_OTHERS                                                          \
  LIST ("{\"epoch\":1,\"next\":9,\"held\":[[\"\",\"b2\",400,\"m\"],"          \
        "[\"\",\"d4\",200,\"m\"]]}                                   ")
#define REST STREAM_HEAD EVENT ("2") LAST_CHUNK

static const struct support_step begins[]
    = { { STREAM_HEAD EVENT ("1"), SUPPORT_RESET } };
static const struct support_step ends[] = { { REST, SUPPORT_KEEP } };
static const struct support_step lists_then_ends[]
    = { { HOLDS_C3, SUPPORT_KEEP }, { REST, SUPPORT_KEEP } };
static const struct support_step lists_others[]
    = { { HOLDS_OTHERS, SUPPORT_KEEP }, { REST, SUPPORT_KEEP } };

/* Sends a request for a stream, with a prompt of the parts of PROMPT. */
static struct support_caller *
call_with (struct support_gateway *g, int caller, const char *id,
           const char *prompt, const char *more_fields)
{
  char *fields = g_strconcat ("X-Basildock-Prefix-Hash: ", prompt,
                              "\r\nX-Basildock-Token-Usage: 1200,80\r\n"
                              "X-Basildock-Model: m\r\n",
                              more_fields, NULL);
  char *text = support_request ("POST /resume/x", id, fields, "body");
  struct support_caller *result = support_caller_send (g, caller, text);

  g_free (text);
  g_free (fields);
  return result;
}

/* Sends a request for a stream, with a prompt of which "c3" is the part that
   no other request has. */
static struct support_caller *
call (struct support_gateway *g, int caller, const char *id,
      const char *more_fields)
{
  return call_with (g, caller, id, "a1:600,b2:400,c3:200", more_fields);
}

static bool
got_request (const struct support_runner *runner)
{
  return strstr (runner->received->str, "POST /resume/x") != NULL;
}

/* Runs until the response is complete, refused or broken off. */
static void
await_outcome (struct support_caller *caller)
{
  while (!caller->ended && !strstr (caller->in->str, "\r\n0\r\n\r\n")
         && !strstr (caller->in->str, "\"ran\":"))
    support_run_once (caller->gateway);
}

/* Fails the test, but goes on. */
static void
fail (const char *what, const char *detail)
{
  g_test_message ("%s %s", what, detail);
  g_test_fail ();
}

/* Fails the test, but goes on, unless the runners that got the request are
   those of WANTED, a set of bits. */
static void
check_runners (const struct support_gateway *g, int count, unsigned wanted)
{
  for (int i = 0; i < count; i++)
    if (got_request (&g->runners[i]) != ((wanted >> i & 1) != 0))
      fail ("wrong for runner", g->runners[i].id);
}

static void
check_contains (const GString *text, const char *wanted)
{
  if (!strstr (text->str, wanted))
    fail (wanted, "is missing");
}

/* Starts a stream at runner 0, of version v1, which breaks it off after the
   first event.  Before that, COUNT runners are listed beside it, of which
   runner SAME is of version v1 too (0: none is). */
static struct support_caller *
begin_stream (struct support_gateway *g, int count, int same)
{
  struct support_caller *caller;

  support_gateway_open (g);
  support_gateway_runner (g, 0, begins, 1);
  support_gateway_set_software (g, 0, "v1");
  caller = call (g, 0, "a1", "");
  support_await_count (g, &g->runners[0].request_count, 1);
  for (int i = 1; i <= count; i++)
    {
      support_gateway_runner (g, i, ends, 1);
      support_gateway_set_software (g, i, i == same ? "v1" : "v1.1");
    }
  return caller;
}

/* Guards against a broken stream that goes on within its response at a runner
   of another software version, because nobody compares versions. */
static void
test_one_response (void)
{
  struct support_gateway g;
  struct support_caller *caller = begin_stream (&g, 1, 0);

  await_outcome (caller);
  check_contains (caller->in, EVENT ("1"));
  if (strstr (caller->in->str, "\r\n0\r\n\r\n"))
    fail ("the response", "is complete");
  check_runners (&g, 2, 1);
  support_gateway_close (&g);
}

/* With runners of both versions left, the stream goes on at its own. */
static void
test_one_response_goes_on (void)
{
  struct support_gateway g;
  struct support_caller *caller = begin_stream (&g, 5, 3);

  await_outcome (caller);
  check_contains (caller->in, EVENT ("1") EVENT ("2"));
  check_runners (&g, 6, 1 | 1 << 3);
  support_gateway_close (&g);
}

/* Guards against a join where the entry of the runner that began the stream
   shows only afterwards that the process has another version. */
static void
test_entry_changes (void)
{
  struct support_gateway g;
  struct support_caller *caller = begin_stream (&g, 2, 2);

  support_gateway_set_software (&g, 0, "v1.1");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("1"));
  check_runners (&g, 3, 1);
  support_gateway_close (&g);
}

/* Guards against a read of freed memory: the runner's entry names another
   version before the stream has ended, which is told to peers when the
   caller's connection, and with it the attempt's identifier, is gone. */
static void
test_entry_changes_before_end (void)
{
  GString *bytes = g_string_new (STREAM_HEAD EVENT ("1"));
  struct support_step step = { .ending = SUPPORT_KEEP };
  struct support_gateway g;
  struct support_caller *caller;

  GString *fields = g_string_new ("Connection: close\r\nX-Long: ");

  /* Freed memory changes, when it is too large for the thread's cache. */
  mallopt (M_PERTURB, 0xa5);
  g_string_append_printf (fields, "%04000d\r\n", 0);
  /* More than is read from a connection at a time. */
  for (int i = 0; i < 20000; i++)
    g_string_append (bytes, EVENT ("2"));
  g_string_append (bytes, LAST_CHUNK);
  step.bytes = bytes->str;
  support_gateway_open (&g);
  support_gateway_runner (&g, 0, &step, 1);
  support_gateway_set_software (&g, 0, "v1");
  caller = call (&g, 0, "a1", fields->str);
  support_await (caller, "id: 1");
  g_assert_null (strstr (caller->in->str, "\r\n0\r\n\r\n"));
  support_gateway_set_software (&g, 0, "v1.1");
  await_outcome (caller);
  g_assert_cmpuint (bd_stream_origins_find (
                        g.origins,
                        bd_stream_number (BD_CHUNK ("a1"), BD_CHUNK ("w")),
                        bd_clock_boot_ms ()),
                    ==, BD_SOFTWARE_UNCERTAIN);
  g_string_free (bytes, TRUE);
  g_string_free (fields, TRUE);
  support_gateway_close (&g);
  mallopt (M_PERTURB, 0);
}

/* Guards against a stream that its caller continues at a runner of another
   version, after all instances have ended at once: no instance remembers the
   stream, but the runner that began it still holds its prompt. */
static void
test_after_restart (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 4; i++)
    {
      support_gateway_runner (&g, i, i == 2 ? lists_then_ends : lists_others,
                              2);
      support_gateway_set_software (&g, i, i == 2 ? "v1" : "v1.1");
    }
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  check_contains (g.runners[2].received, "Last-Event-Id: 1\r\n");
  check_runners (&g, 4, 1 << 2);
  support_gateway_close (&g);
}

/* Guards against a join after all instances have ended at once, where the
   stream's runner has left and a runner of another version holds the prompt of
   the same session from an earlier request: a session's requests keep to one
   version while runners of it are left. */
static void
test_session (void)
{
  static const struct support_step steps[]
      = { { STREAM_HEAD EVENT ("1") LAST_CHUNK, SUPPORT_KEEP },
          { REST, SUPPORT_KEEP } };
  static const char session[] = "a1:20,c3:1180";
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, steps, 2);
  support_gateway_set_software (&g, 0, "v1");
  caller = call_with (&g, 0, "a1", session, "");
  await_outcome (caller);
  for (int i = 1; i < 6; i++)
    {
      support_gateway_runner (&g, i, ends, 1);
      support_gateway_set_software (&g, i, "v1.1");
    }
  caller = call_with (&g, 1, "a2", session, "");
  await_outcome (caller);
  check_runners (&g, 6, 1);
  support_gateway_close (&g);
}

/* Guards against a session that changes its version because its coordinator
   is a new one, which took over from its predecessor where prefixes are: it
   asks the runners once several versions serve. */
static void
test_session_handover (void)
{
  struct support_gateway g;
  struct bd_coordination_message handover
      = { .kind = BD_COORDINATION_PREFIXES, .prefixes.complete = true };
  struct bd_coordination_query query = { .service = BD_CHUNK ("s"),
                                         .zone = BD_CHUNK ("z"),
                                         .shard_count = 1,
                                         .unshared_tokens = 200,
                                         .own_part = 1 };
  int64_t now = bd_clock_boot_ms ();

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, lists_then_ends, 1);
  support_gateway_set_software (&g, 0, "v1");
  bd_coordinator_handle (g.coordinator, 2, &handover, now);
  bd_coordinator_decide (g.coordinator, 2, &query, now);
  support_gateway_runner (&g, 1, lists_others, 1);
  support_gateway_set_software (&g, 1, "v1.1");
  bd_coordinator_decide (g.coordinator, 2, &query, now + 1000);
  support_await_count (&g, &g.runners[0].request_count, 1);
  support_await_count (&g, &g.runners[1].request_count, 1);
  bd_coordinator_decide (g.coordinator, 2, &query, now + 2000);
  g_assert_cmpint (g.runners[0].request_count, ==, 1);
  support_gateway_close (&g);
}

/* Guards against the same where nothing shows which version began the stream:
   the caller is told that its attempt has not run. */
static void
test_version_unknown (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    {
      support_gateway_runner (&g, i, lists_others, 2);
      support_gateway_set_software (&g, i, i == 0 ? "v1" : "v1.1");
    }
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "HTTP/1.1 503");
  check_contains (caller->in, "\"ran\":\"no\"");
  check_runners (&g, 2, 0);
  support_gateway_close (&g);
}

/* Lists runners 0 and 1, of versions v1 and v1.1; runner 0 holds the prompt
   from an earlier request of the session.  What STEPS of runner 1 say of it is
   up to the test; NULL: it has crashed and cannot be reached. */
static void
open_two_versions (struct support_gateway *g, const struct support_step *steps)
{
  support_gateway_open (g);
  support_gateway_runner (g, 0, lists_then_ends, 2);
  support_gateway_set_software (g, 0, "v1");
  if (steps)
    support_gateway_runner (g, 1, steps, 2);
  else
    support_gateway_unreachable_runner (g, 1);
  support_gateway_set_software (g, 1, "v1.1");
}

/* Continues a stream of which nothing was told, and checks that its origin
   counts as unknown. */
static void
check_origin_unknown (struct support_gateway *g)
{
  struct support_caller *caller
      = call (g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");

  await_outcome (caller);
  check_contains (caller->in, "\"stream_origin_unknown\"");
  check_runners (g, 1, 0);
}

/* Guards against a join after all instances have ended at once: the runner
   that began the stream has crashed, and one of another version holds the
   prompt of the session (review/6). */
static void
test_other_version_crashed (void)
{
  struct support_gateway g;

  open_two_versions (&g, NULL);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where that runner's entry is gone already. */
static void
test_other_version_left (void)
{
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  bd_targets_remove (g.targets, bd_clock_boot_ms (), BD_CHUNK ("i-1"),
                     ++g.revision);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where that runner has started again under its
   identifier: the new process holds nothing. */
static void
test_other_version_restarted (void)
{
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  support_gateway_list_process (&g, 1, bd_clock_wall_ms () - 60000);
  support_gateway_list_process (&g, 1, bd_clock_wall_ms ());
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where it started again before this instance has
   read the first list of runners. */
static void
test_other_version_started_before (void)
{
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  support_gateway_list_process (&g, 1, bd_clock_wall_ms () - 1000);
  bd_targets_list_end (g.targets, bd_clock_boot_ms (), 0);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where another runner has its address, and says what
   it holds in its place. */
static void
test_other_version_replaced (void)
{
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  g.runners[2].software = "v1";
  support_gateway_list (&g, 2, g.runners[1].port);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where the list names the runner that has the address
   now before the one that had it. */
static void
test_other_version_replaced_before (void)
{
  struct support_gateway g;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, lists_then_ends, 2);
  support_gateway_set_software (&g, 0, "v1");
  g.runners[2].software = "v1";
  support_gateway_runner (&g, 2, lists_others, 2);
  support_gateway_list_process (&g, 2, bd_clock_wall_ms ());
  g.runners[1].software = "v1.1";
  g.runners[1].port = g.runners[2].port;
  support_gateway_list_process (&g, 1, bd_clock_wall_ms () - 60000);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Guards against the same where that runner wants no call for a while, so that
   it is not asked. */
static void
test_other_version_paused (void)
{
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  bd_pause_begin (bd_targets_find (g.targets, BD_CHUNK ("i-1")),
                  bd_clock_boot_ms (), 20000);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Runners of the version that holds the prompt may end: whichever of them
   began the stream, it goes on at their version. */
static void
test_same_version_lost (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  open_two_versions (&g, lists_others);
  support_gateway_unreachable_runner (&g, 2);
  support_gateway_set_software (&g, 2, "v1");
  g.runners[3].software = "v1";
  support_gateway_list (&g, 3, 9);
  bd_targets_remove (g.targets, bd_clock_boot_ms (), BD_CHUNK ("i-3"),
                     ++g.revision);
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  check_runners (&g, 2, 1);
  support_gateway_close (&g);
}

/* Nor does it matter which runners ended so long before what instances knew
   was lost that their callers had come again, nor which ones have just started
   under an identifier that is new: nothing ran under it before. */
static void
test_other_version_settled (void)
{
  int64_t now = bd_clock_boot_ms ();
  struct support_gateway g;
  struct support_caller *caller;

  open_two_versions (&g, lists_others);
  for (int i = 2; i <= 4; i++)
    {
      support_gateway_runner (&g, i, lists_others, 2);
      g.runners[i].software = "v1.1";
    }
  support_gateway_list_process (&g, 2, bd_clock_wall_ms () - 20000);
  support_gateway_list_new (&g, 3, bd_clock_wall_ms ());
  bd_targets_list_end (g.targets, now, 0);
  support_gateway_list_process (&g, 4, bd_clock_wall_ms ());
  bd_targets_remove (g.targets, now - 15000, BD_CHUNK ("i-4"), ++g.revision);
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  support_gateway_close (&g);
}

/* The same runner counts if another instance ended since: it may have been the
   one that knew. */
static void
test_other_version_before_loss (void)
{
  int64_t now = bd_clock_boot_ms ();
  struct support_gateway g;

  open_two_versions (&g, lists_others);
  bd_targets_list_end (g.targets, now - 25000, 0);
  g.runners[2].software = "v1.1";
  support_gateway_list (&g, 2, 9);
  bd_targets_remove (g.targets, now - 8000, BD_CHUNK ("i-2"), ++g.revision);
  bd_coordinator_instance_lost (g.coordinator, 2, false, now);
  check_origin_unknown (&g);
  support_gateway_close (&g);
}

/* Nor does it matter which versions ended long ago. */
static void
test_other_version_lost_long_ago (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  open_two_versions (&g, lists_others);
  g.runners[2].software = "v1.2";
  support_gateway_list (&g, 2, 9);
  bd_targets_remove (g.targets, bd_clock_boot_ms () - 60000, BD_CHUNK ("i-2"),
                     ++g.revision);
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  support_gateway_close (&g);
}

/* Two of the runners hold the prompt, of different versions. */
static void
test_version_ambiguous (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 2; i++)
    {
      support_gateway_runner (&g, i, lists_then_ends, 2);
      support_gateway_set_software (&g, i, i == 0 ? "v1" : "v1.1");
    }
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "\"stream_origin_unknown\"");
  check_runners (&g, 2, 0);
  support_gateway_close (&g);
}

/* Guards against a list that another process has made, which has the address
   of the listed one by now: it says so when it is asked to go on, and nobody
   else of the listed version is asked. */
static void
test_list_of_another_process (void)
{
  static const struct support_step steps[]
      = { { HOLDS_C3, SUPPORT_KEEP }, { MISDIRECTED, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 4; i++)
    {
      support_gateway_runner (&g, i, i == 2 ? steps : lists_others, 2);
      support_gateway_set_software (&g, i, "v1");
    }
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "\"stream_origin_unknown\"");
  check_contains (caller->in, "\"ran\":\"no\"");
  check_runners (&g, 4, 1 << 2);
  support_gateway_close (&g);
}

/* The runner that holds the prompt has no room: another one of its version
   goes on once its entry shows that it is the one that was asked. */
static void
test_holder_full (void)
{
  static const struct support_step steps[]
      = { { HOLDS_C3, SUPPORT_KEEP }, { REFUSAL, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  for (int i = 0; i < 4; i++)
    {
      support_gateway_runner (&g, i, i == 2 ? steps : lists_others, 2);
      support_gateway_set_software (&g, i, i == 1 ? "v1.1" : "v1");
    }
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  support_await_count (&g, &g.runners[2].request_count, 2);
  support_gateway_list (&g, 2, g.runners[2].port);
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  g_assert_false (got_request (&g.runners[1]));
  support_gateway_close (&g);
}

/* A runner does not answer what it holds: the wait for it has an end. */
static void
test_list_missing (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, NULL, 0);
  caller = call (&g, 0, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "\"stream_origin_unknown\"");
  check_runners (&g, 1, 0);
  support_gateway_close (&g);
}

/* An instance that began a stream knows its version without asking runners,
   and goes on knowing it after an attempt that had no event. */
static void
test_known_here (void)
{
  static const struct support_step steps[]
      = { { STREAM_HEAD, SUPPORT_RESET }, { REST, SUPPORT_KEEP } };
  struct support_gateway g;
  struct support_caller *caller = begin_stream (&g, 1, 0);

  await_outcome (caller);
  support_gateway_unlist (&g, 0);
  caller = call (&g, 1, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "\"no_runner\"");
  check_contains (caller->in, "\"ran\":\"no\"");
  support_gateway_runner (&g, 2, steps, 2);
  support_gateway_set_software (&g, 2, "v1");
  caller = call (&g, 2, "a3", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "\"ran\":\"unknown\"");
  caller = call (&g, 3, "a4", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  check_runners (&g, 3, 1 | 1 << 2);
  support_gateway_close (&g);
}

/* Guards against streams that are not continued although a runner of their
   version serves: one that limits its requests has its next turn soon. */
static void
test_limited_runner (void)
{
  struct support_gateway g;
  struct support_caller *caller = begin_stream (&g, 1, 0);
  struct bd_target *target;

  await_outcome (caller);
  support_gateway_unlist (&g, 0);
  support_gateway_runner (&g, 2, ends, 1);
  support_gateway_set_software (&g, 2, "v1");
  target = bd_targets_find (g.targets, BD_CHUNK ("i-2"));
  bd_runner_limit_named (target, target->started_ms, bd_clock_boot_ms (),
                         4000);
  caller = call (&g, 1, "a2", "Last-Event-Id: 1\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  check_runners (&g, 3, 1 | 1 << 2);
  support_gateway_close (&g);
}

/* Fields that could be read in two ways are refused; without the field that
   names the stream, what runners hold still shows its version. */
static void
test_fields (void)
{
  struct support_gateway g;
  struct support_caller *caller;

  support_gateway_open (&g);
  support_gateway_runner (&g, 0, lists_then_ends, 2);
  support_gateway_set_software (&g, 0, "v1");
  caller = call (&g, 0, "a2",
                 "Last-Event-Id: 1\r\nResumes: a1\r\nResumes: a0\r\n");
  await_outcome (caller);
  check_contains (caller->in, "HTTP/1.1 400");
  caller = call (&g, 1, "a3",
                 "Last-Event-Id: 1\r\nLast-Event-Id: 2\r\nResumes: a1\r\n");
  await_outcome (caller);
  check_contains (caller->in, "HTTP/1.1 400");
  check_runners (&g, 1, 0);
  caller = call (&g, 2, "a4", "Last-Event-Id: 1\r\n");
  await_outcome (caller);
  check_contains (caller->in, EVENT ("2"));
  support_gateway_close (&g);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/continuation/one-response", test_one_response);
  g_test_add_func ("/continuation/one-response-goes-on",
                   test_one_response_goes_on);
  g_test_add_func ("/continuation/entry-changes", test_entry_changes);
  g_test_add_func ("/continuation/entry-changes-before-end",
                   test_entry_changes_before_end);
  g_test_add_func ("/continuation/after-restart", test_after_restart);
  g_test_add_func ("/continuation/session", test_session);
  g_test_add_func ("/continuation/session-handover", test_session_handover);
  g_test_add_func ("/continuation/version-unknown", test_version_unknown);
  g_test_add_func ("/continuation/other-version-crashed",
                   test_other_version_crashed);
  g_test_add_func ("/continuation/other-version-left",
                   test_other_version_left);
  g_test_add_func ("/continuation/other-version-restarted",
                   test_other_version_restarted);
  g_test_add_func ("/continuation/other-version-started-before",
                   test_other_version_started_before);
  g_test_add_func ("/continuation/other-version-replaced",
                   test_other_version_replaced);
  g_test_add_func ("/continuation/other-version-replaced-before",
                   test_other_version_replaced_before);
  g_test_add_func ("/continuation/other-version-paused",
                   test_other_version_paused);
  g_test_add_func ("/continuation/other-version-lost-long-ago",
                   test_other_version_lost_long_ago);
  g_test_add_func ("/continuation/other-version-settled",
                   test_other_version_settled);
  g_test_add_func ("/continuation/other-version-before-loss",
                   test_other_version_before_loss);
  g_test_add_func ("/continuation/same-version-lost", test_same_version_lost);
  g_test_add_func ("/continuation/version-ambiguous", test_version_ambiguous);
  g_test_add_func ("/continuation/list-of-another-process",
                   test_list_of_another_process);
  g_test_add_func ("/continuation/holder-full", test_holder_full);
  g_test_add_func ("/continuation/list-missing", test_list_missing);
  g_test_add_func ("/continuation/known-here", test_known_here);
  g_test_add_func ("/continuation/limited-runner", test_limited_runner);
  g_test_add_func ("/continuation/fields", test_fields);
  return g_test_run ();
}
