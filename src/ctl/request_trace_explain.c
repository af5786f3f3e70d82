/* Explains how a traced request ended, and which logged values decided it. */
#include "ctl/request_trace.h"

#include <string.h>

#define SHOWN_KEYS_MAX 6

/* Explains an event whose field KEY has VALUE (NULL: any value): TEXT, and the
   fields that are shown with it. */
struct rule
{
  int event_number;
  const char *key;
  const char *value;
  const char *text;
  const char *shown_keys[SHOWN_KEYS_MAX];
};

/* Events that end a request.  The first rule that matches applies. */
static const struct rule end_rules[] = {
  { BD_EVENT_REQUEST_DONE,
    NULL,
    NULL,
    "answered whole",
    { "runner", "status", "reached", "first_ms", "gap_ms", "ms" } },
  { BD_EVENT_REQUEST_REFUSED,
    "code",
    "overloaded",
    "refused before it was sent: the wait expected at the best runner "
    "(wait_ms) is over what its class and urgency allow (limit_ms)",
    { "wait_ms", "limit_ms", "priority", "by", "retry_ms" } },
  { BD_EVENT_REQUEST_REFUSED,
    "code",
    "not_ready",
    "refused: the daemon had no configuration in force",
    { "version" } },
  { BD_EVENT_REQUEST_REFUSED,
    "code",
    "leaving",
    "refused: the daemon was stopping",
    { "version" } },
  { BD_EVENT_REQUEST_REFUSED,
    "code",
    "request_suspended",
    "refused: runners crashed while they ran this request",
    { "version" } },
  { BD_EVENT_REQUEST_REFUSED,
    NULL,
    NULL,
    "refused, for the reason that code names (docs/CALLERS.md)",
    { "code", "status", "attempt", "version" } },
  { BD_EVENT_REQUEST_FAILED,
    "stopped_by",
    "not_repeatable",
    "failed: it may have run at a runner, and its route does not let it run "
    "twice",
    { "code", "ran", "events" } },
  { BD_EVENT_REQUEST_FAILED,
    "stopped_by",
    "attempts",
    "failed: it reached as many runners as its route allows",
    { "code", "ran", "reached", "of", "events" } },
  { BD_EVENT_REQUEST_FAILED,
    "stopped_by",
    "retry_budget",
    "failed: its service's retry budget was used up",
    { "code", "ran", "reached", "of", "events" } },
  { BD_EVENT_REQUEST_FAILED,
    "stopped_by",
    "time",
    "failed: its time was over",
    { "code", "ran", "reached", "events", "ms" } },
  { BD_EVENT_REQUEST_FAILED,
    "stopped_by",
    "no_runner",
    "failed: no other runner could take it",
    { "code", "ran", "reached", "tried" } },
  { BD_EVENT_REQUEST_FAILED,
    NULL,
    NULL,
    "failed",
    { "code", "ran", "reached", "events", "ms" } },
  { BD_EVENT_REQUEST_ABORTED,
    NULL,
    NULL,
    "its caller closed the connection",
    { "runner", "events", "ms" } },
  { BD_EVENT_REQUEST_SHED,
    NULL,
    NULL,
    "shed from a full queue for a request of a higher tier",
    { "attempt", "tier", "for_tier" } },
  { BD_EVENT_REQUEST_EXPIRED,
    NULL,
    NULL,
    "its deadline passed while it was queued",
    { "attempt" } },
  { BD_EVENT_QUARANTINE,
    NULL,
    NULL,
    "refused: runners crashed while they ran it",
    { "attempt" } },
};

/* Events before the end of a request. */
static const struct rule step_rules[] = {
  { BD_EVENT_ATTEMPT_FAILED,
    NULL,
    NULL,
    "an attempt failed",
    { "runner", "reason", "status", "events", "ms" } },
  { BD_EVENT_REQUEST_RETRY,
    NULL,
    NULL,
    "it was sent to another runner",
    { "runner", "reached", "attempt", "detail", "ms" } },
  { BD_EVENT_REQUEST_RESUME,
    NULL,
    NULL,
    "its stream went on at another runner",
    { "runner", "reached", "after", "ms" } },
  { BD_EVENT_REQUEST_PLACED,
    NULL,
    NULL,
    "a runner was chosen by what it would cost and what was ahead",
    { "runner", "place", "cost_ms", "ahead", "by", "left_ms" } },
  { BD_EVENT_REQUEST_QUEUED, NULL, NULL, "it was queued", { "attempt" } },
  { BD_EVENT_REQUEST_STARTED,
    NULL,
    NULL,
    "it was sent to the engine",
    { "attempt" } },
  { BD_EVENT_REQUEST_ENDED, NULL, NULL, "the engine finished", { "attempt" } },
  { BD_EVENT_BILLING_LINE, NULL, NULL, "it was billed", { "status" } },
};

static const struct rule *
find_rule (const struct rule *rules, size_t count,
           const struct bd_request_trace_line *line)
{
  for (size_t i = 0; i < count; i++)
    if (rules[i].event_number == line->event_number
        && (!rules[i].value
            || bd_chunk_equal (bd_request_trace_field (line, rules[i].key),
                               bd_chunk_of (rules[i].value))))
      return &rules[i];
  return NULL;
}

#define FIND_RULE(rules, line)                                                \
  find_rule (rules, sizeof (rules) / sizeof (rules)[0], line)

/* Appends "TEXT (KEY=VALUE ...) [BDNNNN at INSTANCE, TIMESTAMP]". */
static void
append_rule (const struct rule *rule, const struct bd_request_trace_line *line,
             struct bd_buffer *out)
{
  const char *separator = "";

  bd_buffer_printf (out, "%s (", rule->text);
  for (size_t i = 0; i < SHOWN_KEYS_MAX && rule->shown_keys[i]; i++)
    {
      struct bd_chunk value
          = bd_request_trace_field (line, rule->shown_keys[i]);

      if (value.length == 0)
        continue;
      bd_buffer_printf (out, "%s%s=%.*s", separator, rule->shown_keys[i],
                        (int)value.length, value.data);
      separator = " ";
    }
  bd_buffer_printf (out, ") [BD%d at %.*s, %.*s]\n", line->event_number,
                    (int)line->instance.length, line->instance.data,
                    (int)line->timestamp.length, line->timestamp.data);
}

/* Explains a request without a logged end by what the daemon that logged
   LAST_LINE, the request's last line, logged afterwards: stop, restart,
   dropped lines. */
static void
append_missing_end (const struct bd_request_trace *trace,
                    const struct bd_request_trace_line *last_line,
                    struct bd_buffer *out)
{
  size_t count;
  const struct bd_request_trace_line *lines
      = bd_request_trace_lines (trace, &count);

  bd_buffer_printf (out, "end: none is logged after BD%d at %.*s\n",
                    last_line->event_number, (int)last_line->instance.length,
                    last_line->instance.data);
  for (const struct bd_request_trace_line *line = last_line + 1;
       line < lines + count; line++)
    {
      if (!bd_chunk_equal (line->instance, last_line->instance))
        continue;
      if (line->event_number == BD_EVENT_DAEMON_STOP
          || line->event_number == BD_EVENT_DAEMON_START)
        {
          bd_buffer_printf (
              out, "because: the daemon %s at %.*s\n",
              line->event_number == BD_EVENT_DAEMON_STOP
                  ? "stopped"
                  : "began anew, so its process had ended before,",
              (int)line->timestamp.length, line->timestamp.data);
          return;
        }
      if (line->event_number == BD_EVENT_LOG_DROPPED)
        bd_buffer_printf (out, "perhaps: log lines were dropped at %.*s\n",
                          (int)line->timestamp.length, line->timestamp.data);
    }
}

/* Returns the last line that ends the request, or NULL; *LAST_LINE is the
   request's last line, or NULL. */
static const struct bd_request_trace_line *
find_end (const struct bd_request_trace *trace,
          const struct bd_request_trace_line **last_line)
{
  size_t count;
  const struct bd_request_trace_line *lines
      = bd_request_trace_lines (trace, &count);
  const struct bd_request_trace_line *end = NULL;

  *last_line = NULL;
  for (size_t i = 0; i < count; i++)
    {
      if (!bd_request_trace_is_own (trace, &lines[i]))
        continue;
      *last_line = &lines[i];
      if (FIND_RULE (end_rules, &lines[i]))
        end = &lines[i];
    }
  return end;
}

/* Appends the last failed attempt before END, the end of a failed request. */
static void
append_cause (const struct bd_request_trace *trace,
              const struct bd_request_trace_line *end, struct bd_buffer *out)
{
  size_t count;
  const struct bd_request_trace_line *lines
      = bd_request_trace_lines (trace, &count);

  for (const struct bd_request_trace_line *line = end; line-- > lines;)
    if (line->event_number == BD_EVENT_ATTEMPT_FAILED
        && bd_request_trace_is_own (trace, line))
      {
        bd_buffer_append (out, BD_CHUNK ("because: "));
        append_rule (FIND_RULE (step_rules, line), line, out);
        return;
      }
}

/* Appends the request's steps up to LAST_LINE, and the other lines of its
   daemons before LAST_LINE, which show what the daemons knew. */
static void
append_steps (const struct bd_request_trace *trace,
              const struct bd_request_trace_line *last_line,
              struct bd_buffer *out)
{
  size_t count;
  const struct bd_request_trace_line *lines
      = bd_request_trace_lines (trace, &count);

  for (size_t i = 0; i < count && &lines[i] <= last_line; i++)
    {
      const struct rule *rule = FIND_RULE (step_rules, &lines[i]);

      if (rule && bd_request_trace_is_own (trace, &lines[i]))
        {
          bd_buffer_append (out, BD_CHUNK ("step: "));
          append_rule (rule, &lines[i], out);
        }
      else if (!bd_request_trace_is_own (trace, &lines[i])
               && bd_request_trace_is_involved (trace, &lines[i]))
        bd_buffer_printf (out, "known: %.*s\n", (int)lines[i].text.length,
                          lines[i].text.data);
    }
}

int
bd_request_trace_explain (const struct bd_request_trace *trace,
                          struct bd_buffer *out)
{
  const struct bd_request_trace_line *last_line;
  const struct bd_request_trace_line *end = find_end (trace, &last_line);

  if (!last_line)
    return BD_ERR_NOT_FOUND;
  if (end)
    {
      bd_buffer_append (out, BD_CHUNK ("end: "));
      append_rule (FIND_RULE (end_rules, end), end, out);
      if (end->event_number == BD_EVENT_REQUEST_FAILED)
        append_cause (trace, end, out);
    }
  else
    append_missing_end (trace, last_line, out);
  append_steps (trace, last_line, out);
  return bd_buffer_append (out, BD_CHUNK (""));
}
