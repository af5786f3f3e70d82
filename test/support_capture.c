#include "support_capture.h"

#include <glib.h>
#include <unistd.h>

void
capture_begin (struct capture *capture, int descriptor)
{
  fflush (NULL);
  capture->descriptor = descriptor;
  capture->saved = dup (descriptor);
  capture->file = tmpfile ();
  g_assert_nonnull (capture->file);
  g_assert_cmpint (dup2 (fileno (capture->file), descriptor), >=, 0);
}

char *
capture_end (struct capture *capture)
{
  long length;
  char *text;

  fflush (NULL);
  dup2 (capture->saved, capture->descriptor);
  close (capture->saved);
  fseek (capture->file, 0, SEEK_END);
  length = ftell (capture->file);
  rewind (capture->file);
  text = g_malloc0 ((gsize)length + 1);
  g_assert_cmpint (fread (text, 1, (size_t)length, capture->file), ==, length);
  fclose (capture->file);
  return text;
}
