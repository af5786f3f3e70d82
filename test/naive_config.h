/**
 * @file naive_config.h
 * Naive implementation of the configuration's rules, to compare
 * configuration/config.h with.
 */
#ifndef NAIVE_CONFIG_H
#define NAIVE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A document made by a test, with its content known without parsing. */
struct naive_document
{
  char *name;
  char *json;
  guint64 revision;
  bool bad;          /**< Must be rejected. */
  GHashTable *names; /**< Manifest: document name to revision. */
};

struct naive_config;

struct naive_config *naive_config_create (void);
void naive_config_destroy (struct naive_config *config);

/** Returns what bd_config_submit () must return. */
int naive_config_submit (struct naive_config *config,
                         const struct naive_document *document);

/** Returns the active document, or NULL. */
const struct naive_document *naive_config_get (struct naive_config *config,
                                               const char *name);

/** True when bd_config_visit_outdated () must visit NAME. */
bool naive_config_outdated (struct naive_config *config, const char *name);

/** Orders by revision, then by content hash. */
int naive_document_compare (const struct naive_document *a,
                            const struct naive_document *b);

/** Makes a contract, pool or manifest.  VARIANT changes the text, but not the
 * parsed content. */
struct naive_document *naive_contract (const char *workspace, guint64 revision,
                                       int variant, bool bad);
struct naive_document *naive_pool (const char *pool, guint64 revision,
                                   int variant, int runners);
struct naive_document *naive_manifest (guint64 revision, int variant,
                                       GHashTable *names);
void naive_document_free (gpointer document);

#endif
