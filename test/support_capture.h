/**
 * @file support_capture.h
 * Collects what a test writes to a standard stream.
 */
#ifndef SUPPORT_CAPTURE_H
#define SUPPORT_CAPTURE_H

#include <stdio.h>

struct capture
{
  int descriptor; /* The stream's, 1 or 2. */
  int saved;
  FILE *file;
};

/** Sends DESCRIPTOR (1 or 2) to a temporary file. */
void capture_begin (struct capture *capture, int descriptor);

/** Puts the stream back; returns what was written, to be freed by g_free. */
char *capture_end (struct capture *capture);

#endif
