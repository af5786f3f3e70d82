/* The settings file of the Cutline platform. */
#include "settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

static const char valid_settings[]
    = "{\"instance\":\"e-1\",\"zone\":\"z\",\"ip\":\"10.1.0.40\","
      "\"callers\":\"10.1.0.40:8227\",\"readiness\":\"10.1.0.40:8220\","
      "\"internal_port\":7340,"
      "\"seeds\":[\"10.1.0.40:8229\",\"10.2.0.29:8229\"],"
      "\"store\":\"10.200.1.7:8223\",\"store_silence_ms\":3000,"
      "\"cpu_share\":0.19,\"cores\":1,"
      "\"memory_mb\":120,\"max_fds\":4100,"
      "\"grace_s\":8,\"retry_ratio\":0.2,"
      "\"retry_slack\":56,\"retry_window_s\":10}";

static int
read_settings_text (const char *text, struct bd_cutline_settings *settings)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  int error;

  g_close (fd, NULL);
  g_file_set_contents (path, text, -1, NULL);
  error = bd_cutline_settings_read (path, settings);
  g_unlink (path);
  g_free (path);
  return error;
}

static void
test_valid (void)
{
  struct bd_cutline_settings settings;

  g_assert_cmpint (read_settings_text (valid_settings, &settings), ==, BD_OK);
  g_assert_cmpstr (settings.instance, ==, "e-1");
  g_assert_cmpint (ntohs (settings.internal_address.sin_port), ==, 7340);
  g_assert_cmpuint (settings.seed_count, ==, 2);
  g_assert_cmpuint (ntohl (settings.seed_ips[1]), ==, 0x0a02001d);
  g_assert_cmpuint (settings.machine.memory_bytes, ==,
                    (size_t)120 * 1024 * 1024);
  g_assert_cmpuint (settings.machine.descriptors_max, ==, 4100);
  g_assert_cmpint (settings.grace_ms, ==, 8000);
  g_assert_cmpint (settings.store_silence_max_ms, ==, 3000);
  g_assert_cmpint (settings.retry.window_ms, ==, 10000);
  g_assert_cmpfloat (settings.retry.ratio, ==, 0.2);
}

/* A file in which one required setting is missing is rejected; so are a file
   that is not JSON and one that does not exist. */
static void
test_rejected (void)
{
  static const char *const names[] = { "\"instance\"",
                                       "\"zone\"",
                                       "\"ip\"",
                                       "\"callers\"",
                                       "\"readiness\"",
                                       "\"internal_port\"",
                                       "\"store\"",
                                       "\"cpu_share\"",
                                       "\"cores\"",
                                       "\"grace_s\"",
                                       "\"retry_ratio\"",
                                       "\"retry_slack\"",
                                       "\"retry_window_s\"",
                                       "\"store_silence_ms\"" };
  struct bd_cutline_settings settings;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char **parts = g_strsplit (valid_settings, names[i], 2);
      char *text = g_strjoinv ("\"other\"", parts);

      g_assert_cmpint (read_settings_text (text, &settings), ==,
                       BD_ERR_SETTING);
      g_strfreev (parts);
      g_free (text);
    }
  g_assert_cmpint (read_settings_text ("{", &settings), ==, BD_ERR_IO);
  g_assert_cmpint (bd_cutline_settings_read ("/nowhere", &settings), ==,
                   BD_ERR_IO);
}

/* The template platform/settings.json.in has every setting that the test
   requires. */
static void
test_template (void)
{
  char *path
      = g_build_filename (SOURCE_DIR, "platform", "settings.json.in", NULL);
  char *text;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  for (const char *at = strchr (valid_settings, '"'); at;
       at = strchr (at, '"'))
    {
      const char *end = strchr (at + 1, '"') + 1;

      if (*end == ':')
        {
          char *name = g_strndup (at, (gsize)(end - at));

          g_assert_nonnull (strstr (text, name));
          g_free (name);
        }
      at = end;
    }
  g_free (text);
  g_free (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cutline-settings/valid", test_valid);
  g_test_add_func ("/cutline-settings/rejected", test_rejected);
  g_test_add_func ("/cutline-settings/template", test_template);
  return g_test_run ();
}
