/**
 * @file support_capture.h
 * Captures what a test writes to a standard stream.
 */
#ifndef SUPPORT_CAPTURE_H
#define SUPPORT_CAPTURE_H

#include <stdio.h>

struct capture
{
  int descriptor; /* 1 or 2. */
  int saved;
  FILE *file;
};

/** Redirects DESCRIPTOR (1 or 2) to a temporary file. */
void capture_begin (struct capture *capture, int descriptor);

/**
 * Restores the stream.  Returns what was written, to be freed with g_free ().
 */
char *capture_end (struct capture *capture);

#endif
