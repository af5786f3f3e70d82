/* basildockctl, run as a process against admin ports of this process. */
#include "common/admin.h"
#include "common/log.h"
#include "support_capture.h"
#include "support_port.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/* Placeholders for the addresses below, in arguments and expected output. */
#define ADMIN_ADDRESS "@admin"
#define CLOSED_ADDRESS "@closed"
#define SIDECAR_ADDRESS "@sidecar"
#define ID "0123456789abcdef0123456789abcdef"
#define OTHER_ID "ffffffffffffffffffffffffffffffff"

static char admin_address[SUPPORT_ADDRESS_BYTES];
static char closed_address[SUPPORT_ADDRESS_BYTES];
static char sidecar_address[SUPPORT_ADDRESS_BYTES];

static bool
is_ready (struct bd_admin_source *source)
{
  (void)source;
  return true;
}

static int
write_status (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  return bd_buffer_printf (
      json, "{\"role\":\"entry\",\"revision\":7,\"name\":\"a\\u001b[2Jb"
            "\\u202ec\\u009bd\",\"inner\":{\"zone\":\"Bra\\u0219ov\"}}");
}

static int
write_runners (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  return bd_buffer_printf (json,
                           "{\"runners\":[{\"instance\":\"r-1\",\"queued\":3},"
                           "{\"instance\":\"runner-2\",\"x\\ny\":1}]}");
}

static int
write_contracts (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  return bd_buffer_printf (
      json, "{\"contracts\":[{\"workspace\":\"first\",\"revision\":1,"
            "\"classes\":{\"a\":{\"tier\":0},\"batch\":{\"tier\":3}}},"
            "{\"workspace\":\"second\",\"revision\":2}]}");
}

/* Reports of a sidecar without a configuration: it has no list of runners, and
   its contracts are not ready. */
static int
report_not_found (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  (void)json;
  return BD_ERR_NOT_FOUND;
}

static int
report_not_ready (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  (void)json;
  return BD_ERR_NOT_READY;
}

static const char good_contract[]
    = "{\"workspace\":\"w\",\"revision\":3,\"default_class\":\"chat\","
      "\"retry_window_s\":600,\"credentials\":[\"" OTHER_ID OTHER_ID "\"],"
      "\"limits\":{\"requests_per_s\":10,\"tokens_per_s\":1000,"
      "\"concurrency\":5},\"classes\":{\"chat\":{\"tier\":0,"
      "\"first_token_ms\":800,\"token_gap_ms\":30,\"deadline_ms\":60000,"
      "\"idempotent\":true,\"min_share_permille\":100,"
      "\"max_output_tokens\":1000}}}";

struct ctl_case
{
  const char *arguments; /* FILE: the contract file; LOG: the log file. */
  int code;
  const char *out;
  const char *err;
  const char *absent;
};

static const struct ctl_case cases[] = {
  { "--help", 0, "contract check", "", "" },
  { "--version", 0, "basildockctl " BD_VERSION, "", "" },
  { "", 2, "", "COMMAND", "" },
  { "frobnicate", 2, "", "frobnicate", "" },
  { "status", 2, "", "--admin", "" },
  { "--admin localhost:1 status", 2, "", "IP:PORT", "" },
  { "--admin " ADMIN_ADDRESS " status extra", 2, "", "number of words", "" },
  { "--admin " ADMIN_ADDRESS " --bogus status", 2, "", "bogus", "" },
  { "--admin " ADMIN_ADDRESS " --last 0 events", 2, "", "1 to 100000", "" },
  { "--admin " ADMIN_ADDRESS " status", 0, "role      entry\n", "", "\033" },
  { "--admin " ADMIN_ADDRESS " status", 0,
    "a\\x1b[2Jb\\xe2\\x80\\xaec\\xc2\\x9bd", "", "\xe2\x80\xae" },
  { "--admin " ADMIN_ADDRESS " status", 0, "zone  Bra\xc8\x99ov\n", "",
    "== " },
  { "--admin " ADMIN_ADDRESS " --json status", 0, "\"role\": \"entry\"", "",
    "\033" },
  { "--admin " ADMIN_ADDRESS " --json status", 0, "\"" ADMIN_ADDRESS "\": {",
    "", "\xc8\x99" },
  { "--admin " ADMIN_ADDRESS "," CLOSED_ADDRESS " status", 3,
    "== " ADMIN_ADDRESS, CLOSED_ADDRESS "/status", "" },
  { "--admin " CLOSED_ADDRESS " runners", 3, "", "/runners", "" },
  { "--admin " ADMIN_ADDRESS " runners", 0, "  r-1       3\n  runner-2  -\n",
    "", "" },
  { "--admin " SIDECAR_ADDRESS " runners", 0, "", "", "==" },
  { "--admin " SIDECAR_ADDRESS "," ADMIN_ADDRESS " runners", 0, "r-1", "",
    SIDECAR_ADDRESS },
  { "--admin " SIDECAR_ADDRESS " contract show", 1, "", "status 503", "" },
  { "--admin " ADMIN_ADDRESS " contract show", 0, "workspace  first", "", "" },
  { "--admin " ADMIN_ADDRESS " contract show", 0,
    "classes:\n  name   tier\n  a      0\n  batch  3\n", "", "" },
  { "--admin " ADMIN_ADDRESS " --workspace third contract show", 0, "none\n",
    "", ":" },
  { "--admin " ADMIN_ADDRESS " --workspace second contract show", 0,
    "workspace  second", "", "first" },
  { "--admin " ADMIN_ADDRESS " histogram", 0,
    "w c first_token: count 3, p50 1.49 ms", "", "whole" },
  { "--admin " ADMIN_ADDRESS " histogram", 0,
    "<=     2 ms |######################################## 2", "", "1 ms |" },
  { "--admin " ADMIN_ADDRESS " histogram", 0,
    "<=     5 ms |                                         0", "", "more" },
  { "--admin " ADMIN_ADDRESS " histogram", 0,
    "<=    10 ms |####################                     1", "", "20 ms |" },
  { "--admin " ADMIN_ADDRESS " --duration whole histogram", 0, "more |####",
    "", "first_token" },
  { "--admin " ADMIN_ADDRESS " --duration nonsense histogram", 2, "",
    "--duration", "" },
  { "--admin " ADMIN_ADDRESS " --duration token_gap histogram", 0,
    "nothing measured", "", "|" },
  { "--admin " ADMIN_ADDRESS " --class none histogram", 0, "nothing measured",
    "", "|" },
  { "--admin " ADMIN_ADDRESS " --json histogram", 0, "\"workspace\": \"w\"",
    "", "|" },
  { "--admin " ADMIN_ADDRESS " --last 1 events", 0, "tokens=2", "",
    "tokens=1" },
  { "--admin " ADMIN_ADDRESS " events", 0, "tokens=1", "", "" },
  { "--admin " ADMIN_ADDRESS " trace " ID, 0, "tokens=1", "", "tokens=2" },
  { "--admin " ADMIN_ADDRESS " --json trace " ID, 0, "\"lines\": [", "",
    "tokens=2" },
  { "--admin " ADMIN_ADDRESS " trace " OTHER_ID, 1, "", "no line", "" },
  { "--admin " ADMIN_ADDRESS " trace 12", 2, "", "32 hex digits", "" },
  { "trace a1 LOG", 0, "BD2001", "", "a2" },
  { "trace a1 LOG LOG", 0, "BD2016", "", "\033" },
  { "--json --last 1 trace a1 LOG", 0, "\"lines\": [", "", "BD2016" },
  { "trace a3 LOG", 1, "", "no line of this request", "BD" },
  { "trace a\" LOG", 1, "", "no spaces", "BD" },
  { "trace a1 /nonexistent", 1, "", "/nonexistent: No such", "" },
  { "explain a1 LOG", 0, "end: answered whole (runner=x\\x1b[2J ms=9)", "",
    "\033" },
  { "--json explain a1 LOG", 0, "\"lines\": [", "", "" },
  { "explain a3 LOG", 1, "", "no line of this request", "end" },
  { "explain a1", 2, "", "number of words", "" },
  { "explain a1 -", 1, "", "no line of this request", "" },
  { "contract check FILE", 0, "valid, workspace w, revision 3, 1 classes", "",
    "" },
  { "--json contract check FILE", 0, "\"valid\": true", "", "" },
  { "contract check /nonexistent", 1, "cannot be read", "", "" },
  { "contract check /proc/self/cmdline", 1, "", "", "valid, " },
  { "--json contract check /nonexistent", 1, "\"valid\": false", "", "" },
};

static const char log_file_text[]
    = "2026-01-02T03:04:05.000Z i p[1]: BD2016 REQUEST_PLACED placed "
      "request=\"a1\" runner=x\033[2J\n"
      "2026-01-02T03:04:05.001Z i p[1]: BD2016 REQUEST_PLACED placed "
      "request=\"a2\" runner=y\n"
      "2026-01-02T03:04:05.009Z i p[1]: BD2001 REQUEST_DONE whole "
      "request=\"a1\" runner=x\033[2J ms=9\n";

/* Returns a copy of TEXT with addresses in place of the placeholders. */
static char *
insert_addresses (const char *text)
{
  GString *string = g_string_new (text);

  g_string_replace (string, ADMIN_ADDRESS, admin_address, 0);
  g_string_replace (string, CLOSED_ADDRESS, closed_address, 0);
  g_string_replace (string, SIDECAR_ADDRESS, sidecar_address, 0);
  return g_string_free (string, FALSE);
}

static bool
contains (const char *text, const char *wanted)
{
  char *full = insert_addresses (wanted);
  bool found = strstr (text, full) != NULL;

  g_free (full);
  return found;
}

static void
run_ctl (const struct ctl_case *ctl_case, const char *file, const char *log)
{
  char *line = insert_addresses (ctl_case->arguments);
  char **arguments = g_strsplit (line, " ", -1);
  GPtrArray *argv = g_ptr_array_new ();
  char *out, *err;
  int status;

  g_ptr_array_add (argv, (char *)BUILD_DIR "/basildockctl");
  for (char **w = arguments; *w; w++)
    if (**w)
      g_ptr_array_add (argv, strcmp (*w, "FILE") == 0  ? (char *)file
                             : strcmp (*w, "LOG") == 0 ? (char *)log
                                                       : *w);
  g_ptr_array_add (argv, NULL);
  g_test_message ("basildockctl %s", line);
  g_assert_true (g_spawn_sync (NULL, (char **)argv->pdata, NULL, 0, NULL, NULL,
                               &out, &err, &status, NULL));
  g_test_message ("%s", out);
  g_assert_true (WIFEXITED (status));
  g_assert_cmpint (WEXITSTATUS (status), ==, ctl_case->code);
  g_assert_true (contains (out, ctl_case->out));
  g_assert_true (contains (err, ctl_case->err));
  g_assert_true (!ctl_case->absent[0] || !contains (out, ctl_case->absent));
  g_ptr_array_free (argv, TRUE);
  g_strfreev (arguments);
  g_free (line);
  g_free (out);
  g_free (err);
}

static void
fill_metrics (struct bd_metrics *metrics)
{
  struct bd_class_metrics *pair
      = bd_metrics_class (metrics, BD_CHUNK ("w"), BD_CHUNK ("c"));

  bd_class_metrics_add (pair, BD_DURATION_FIRST_TOKEN, 1500);
  bd_class_metrics_add (pair, BD_DURATION_FIRST_TOKEN, 1500);
  bd_class_metrics_add (pair, BD_DURATION_FIRST_TOKEN, 9000);
  bd_class_metrics_add (pair, BD_DURATION_WHOLE, 400000000);
}

static void
test_commands (void)
{
  struct bd_admin_source source
      = { is_ready, write_status, write_runners, write_contracts };
  static const struct ctl_case address_from_variable
      = { "status", 0, "== " ADMIN_ADDRESS "\nrole", "", "" };
  struct bd_admin_source sidecar_source
      = { is_ready, write_status, report_not_found, report_not_ready };
  struct bd_metrics *metrics = bd_metrics_create ();
  struct bd_admin *admin, *sidecar;
  struct capture capture;
  char *file = NULL;
  char *log = NULL;
  char *twice;
  int fd = g_file_open_tmp (NULL, &file, NULL);
  int log_fd = g_file_open_tmp (NULL, &log, NULL);
  int error;

  g_assert_true (g_file_set_contents (file, good_contract, -1, NULL));
  g_assert_true (g_file_set_contents (log, log_file_text, -1, NULL));
  support_free_address (admin_address);
  support_free_address (closed_address);
  support_free_address (sidecar_address);
  fill_metrics (metrics);
  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "request=%s tokens=1", ID);
  bd_log (BD_EVENT_REQUEST_DONE, "request=none tokens=2");
  g_free (capture_end (&capture));
  admin = bd_admin_create (admin_address, metrics, &source, &error);
  g_assert_nonnull (admin);
  sidecar
      = bd_admin_create (sidecar_address, metrics, &sidecar_source, &error);
  g_assert_nonnull (sidecar);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_ctl (&cases[i], file, log);
  twice = insert_addresses (ADMIN_ADDRESS "," ADMIN_ADDRESS);
  g_setenv ("BASILDOCK_ADMIN", twice, TRUE);
  g_free (twice);
  run_ctl (&address_from_variable, file, log);
  bd_admin_destroy (admin);
  bd_admin_destroy (sidecar);
  bd_metrics_destroy (metrics);
  g_unlink (file);
  g_unlink (log);
  g_close (fd, NULL);
  g_close (log_fd, NULL);
  g_free (file);
  g_free (log);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_unsetenv ("BASILDOCK_ADMIN");
  g_test_add_func ("/ctl/commands", test_commands);
  return g_test_run ();
}
